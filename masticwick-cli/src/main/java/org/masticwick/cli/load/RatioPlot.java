package org.masticwick.cli.load;

import java.awt.Color;
import java.awt.Rectangle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.text.NumberFormat;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/**
 * Plots the ratio of response time to ideal response time by percentile for several
 * reports. The horizontal axis is the inverse of the fraction of answers that are slower,
 * on a logarithmic scale.
 */
final class RatioPlot {

	private static final int WIDTH = 1_000;

	private static final int HEIGHT = 600;

	private static final double PERCENT = 100;

	private static final double INVERSE_TAIL_FRACTION_MAX = 10_000;

	private RatioPlot() {
	}

	/**
	 * Creates a chart with one curve for single tasks and one for jobs of each report;
	 * omits empty ones.
	 * @param reports the reports in JSON by their names in the legend
	 * @return the chart
	 */
	static JFreeChart draw(Map<String, JsonNode> reports) {
		XYSeriesCollection curves = new XYSeriesCollection();
		reports.forEach((name, report) -> {
			addCurve(curves, name + ", single tasks", report.path("single_ratio"));
			addCurve(curves, name + ", jobs", report.path("job_ratio"));
		});
		JFreeChart chart = ChartFactory.createXYLineChart("Response time over ideal",
				"one of N answers is slower (10: p90, 100: p99, 1000: p99.9)", "response time / ideal", curves,
				PlotOrientation.VERTICAL, true, false, false);
		XYPlot plot = chart.getXYPlot();
		plot.setBackgroundPaint(Color.WHITE);
		plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
		plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
		plot.setDomainAxis(createLogAxis(plot.getDomainAxis().getLabel()));
		plot.setRangeAxis(createLogAxis(plot.getRangeAxis().getLabel()));
		return chart;
	}

	/**
	 * Writes a chart.
	 * @param chart the chart
	 * @param file the file; written as SVG if its name ends in {@code .svg}, else as PNG
	 * @throws IOException if the file can't be written
	 */
	static void write(JFreeChart chart, Path file) throws IOException {
		if (file.toString().endsWith(".svg")) {
			SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, HEIGHT);
			chart.draw(graphics, new Rectangle(WIDTH, HEIGHT));
			Files.writeString(file, graphics.getSVGDocument());
		}
		else {
			ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, HEIGHT);
		}
	}

	private static void addCurve(XYSeriesCollection curves, String name, JsonNode quantiles) {
		if (quantiles.path("count").asLong() == 0) {
			return;
		}
		XYSeries series = new XYSeries(name);
		quantiles.path("curve").forEach((point) -> {
			double inverseTailFraction = 1
					/ (1 - Math.min(point.get(0).asDouble() / PERCENT, 1 - 1 / INVERSE_TAIL_FRACTION_MAX));
			series.add(inverseTailFraction, point.get(1).asDouble());
		});
		curves.addSeries(series);
	}

	private static LogAxis createLogAxis(String label) {
		LogAxis axis = new LogAxis(label);
		axis.setAutoRange(true);
		axis.setNumberFormatOverride(NumberFormat.getInstance(Locale.ROOT));
		return axis;
	}

}

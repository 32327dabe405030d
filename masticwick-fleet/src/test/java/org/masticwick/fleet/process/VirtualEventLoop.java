package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.AbstractEventExecutor;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * An event loop of one simulated process, whose tasks run on the thread that advances the
 * simulated time. It has no channels.
 */
final class VirtualEventLoop extends AbstractEventExecutor implements EventLoop {

	private final VirtualTime time;

	private final List<Runnable> pausedTasks = new ArrayList<>();

	private long pausedUntilMicros;

	private final String name;

	private boolean ended;

	VirtualEventLoop(VirtualTime time, String name) {
		this.name = name;
		this.time = time;
	}

	/**
	 * Ends the process: no further task runs.
	 */
	void end() {
		this.ended = true;
	}

	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Runs no task for a while. Tasks that become due run afterwards, in their order.
	 * @param millis for how long, in milliseconds
	 */
	void pause(long millis) {
		long pauseMicros = TimeUnit.MILLISECONDS.toMicros(millis);
		this.pausedUntilMicros = Math.max(this.pausedUntilMicros, this.time.nowMicros() + pauseMicros);
		this.time.after(pauseMicros, this::resume);
	}

	private boolean isPaused() {
		return this.time.nowMicros() < this.pausedUntilMicros;
	}

	private void resume() {
		if (!isPaused()) {
			List<Runnable> dueTasks = List.copyOf(this.pausedTasks);
			this.pausedTasks.clear();
			dueTasks.forEach(this::runOrDefer);
		}
	}

	private void runOrDefer(Runnable task) {
		if (isPaused()) {
			this.pausedTasks.add(task);
		}
		else if (!this.ended) {
			this.time.enter(this.name);
			task.run();
		}
	}

	@Override
	public void execute(Runnable task) {
		this.time.after(0, () -> runOrDefer(task));
	}

	@Override
	public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
		return new Timer(task, unit.toMicros(delay), 0);
	}

	@Override
	@SuppressWarnings("unchecked")
	public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
		return (ScheduledFuture<V>) new Timer(() -> call(task), unit.toMicros(delay), 0);
	}

	private static void call(Callable<?> task) {
		try {
			task.call();
		}
		catch (Exception ex) {
			throw new IllegalStateException("Scheduled task failed", ex);
		}
	}

	@Override
	public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long initialDelay, long period, TimeUnit unit) {
		return new Timer(task, unit.toMicros(initialDelay), unit.toMicros(period));
	}

	@Override
	public boolean inEventLoop(Thread thread) {
		return true;
	}

	@Override
	public EventLoop next() {
		return this;
	}

	@Override
	public EventLoopGroup parent() {
		return this;
	}

	@Override
	public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
		this.time.after(unit.toMicros(quietPeriod), this::end);
		return terminationFuture();
	}

	@Override
	public Future<?> terminationFuture() {
		return newPromise();
	}

	@Override
	@Deprecated
	public void shutdown() {
		end();
	}

	@Override
	public boolean isShuttingDown() {
		return this.ended;
	}

	@Override
	public boolean isShutdown() {
		return this.ended;
	}

	@Override
	public boolean isTerminated() {
		return this.ended;
	}

	@Override
	public boolean awaitTermination(long timeout, TimeUnit unit) {
		return this.ended;
	}

	@Override
	public ChannelFuture register(Channel channel) {
		throw new UnsupportedOperationException("Channels are not simulated");
	}

	@Override
	public ChannelFuture register(ChannelPromise promise) {
		throw new UnsupportedOperationException("Channels are not simulated");
	}

	@Override
	@Deprecated
	public ChannelFuture register(Channel channel, ChannelPromise promise) {
		throw new UnsupportedOperationException("Channels are not simulated");
	}

	/**
	 * A task that is due later, once or at a fixed rate.
	 */
	private final class Timer extends DefaultPromise<Object> implements ScheduledFuture<Object> {

		private final Runnable task;

		private final long periodMicros;

		private long dueMicros;

		private Timer(Runnable task, long delayMicros, long periodMicros) {
			super((EventExecutor) VirtualEventLoop.this);
			this.task = task;
			this.periodMicros = periodMicros;
			this.dueMicros = VirtualEventLoop.this.time.nowMicros() + delayMicros;
			arm();
		}

		private void arm() {
			VirtualEventLoop.this.time.after(this.dueMicros - VirtualEventLoop.this.time.nowMicros(),
					() -> runOrDefer(this::fire));
		}

		private void fire() {
			if (isCancelled()) {
				return;
			}
			if (this.periodMicros == 0) {
				setUncancellable();
				this.task.run();
				trySuccess(null);
				return;
			}
			this.task.run();
			this.dueMicros += this.periodMicros;
			arm();
		}

		@Override
		public long getDelay(TimeUnit unit) {
			return unit.convert(this.dueMicros - VirtualEventLoop.this.time.nowMicros(), TimeUnit.MICROSECONDS);
		}

		@Override
		public int compareTo(Delayed other) {
			return Long.compare(getDelay(TimeUnit.MICROSECONDS), other.getDelay(TimeUnit.MICROSECONDS));
		}

	}

}

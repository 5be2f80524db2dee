//! The traffic executor: a pool of threads that share one task queue.

use async_executor::Executor;
use async_io::block_on;
use derive_more::Debug;
use std::sync::Arc;
use std::thread::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Spawns tasks onto the traffic threads.
#[derive(Clone, Debug)]
pub struct TaskSpawner {
    #[debug(skip)]
    executor: Arc<Executor<'static>>,
}

impl TaskSpawner {
    /// Starts `threads` threads that run until `stop` is cancelled.
    ///
    /// # Errors
    /// Returns the system's error if a thread can't be started.
    pub fn start(
        threads: usize,
        stop: &CancellationToken,
    ) -> std::io::Result<(Self, Vec<JoinHandle<()>>)> {
        let executor = Arc::new(Executor::new());
        let mut handles = Vec::new();
        for index in 0..threads {
            let executor = Arc::clone(&executor);
            let stop = stop.clone();
            let builder = std::thread::Builder::new().name(format!("traffic-{index}"));
            let handle = builder.spawn(move || block_on(executor.run(stop.cancelled())))?;
            handles.push(handle);
        }
        Ok((Self { executor }, handles))
    }

    /// Runs `task` to completion, detached.
    pub fn spawn<Task>(&self, task: Task)
    where
        Task: Future<Output = ()> + Send + 'static,
    {
        self.executor.spawn(task).detach();
    }

    /// The executor, for adapters that need one.
    pub fn executor(&self) -> &Arc<Executor<'static>> {
        &self.executor
    }
}

use std::future::Future;

use tokio::runtime::{Builder, Runtime};

use crate::DemoError;

/// A program in a Tokio runtime of its own, which stands for a VM. Dropping the runtime has the
/// same effect as a crash of the VM.
pub struct Vm<T> {
    program: Option<T>,
    runtime: Option<Runtime>,
}

impl<T: Send + 'static> Vm<T> {
    /// Starts a program.
    ///
    /// # Errors
    /// When the runtime or the program cannot start.
    pub async fn start<F, E>(program: F) -> Result<Self, DemoError>
    where
        F: Future<Output = Result<T, E>> + Send + 'static,
        E: std::fmt::Display + Send + 'static,
    {
        let start_error = |detail: String| DemoError::Start { detail };
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(|error| start_error(error.to_string()))?;
        let result = runtime.spawn(program).await;
        // A runtime must not be dropped in asynchronous code, so `Vm` owns it before any return.
        let mut vm = Self { program: None, runtime: Some(runtime) };
        match result {
            Ok(Ok(program)) => vm.program = Some(program),
            Ok(Err(error)) => return Err(start_error(error.to_string())),
            Err(error) => return Err(start_error(error.to_string())),
        }
        Ok(vm)
    }

    /// Returns the program, or `None` after the VM was killed or stopped.
    pub fn program(&self) -> Option<&T> {
        self.program.as_ref()
    }

    /// Drops the program and its runtime at once. Connections close, and running work is not
    /// finished.
    pub fn kill(&mut self) {
        self.program = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops the program through `stop` and then drops the runtime.
    pub async fn stop<F>(&mut self, stop: impl FnOnce(T) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        if let (Some(program), Some(runtime)) = (self.program.take(), self.runtime.as_ref()) {
            // A panic of the program ends it as well.
            let _ = runtime.spawn(stop(program)).await;
        }
        self.kill();
    }
}

impl<T> Drop for Vm<T> {
    fn drop(&mut self) {
        self.program = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

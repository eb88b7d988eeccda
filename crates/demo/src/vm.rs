use std::future::Future;

use tokio::runtime::{Builder, Runtime};

use crate::DemoError;

/// A program on a VM of its own: a runtime that can be dropped as a crash of the VM would drop it.
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
        let failed = |detail: String| DemoError::Start { detail };
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .map_err(|error| failed(error.to_string()))?;
        let started = runtime.spawn(program).await;
        // A runtime must not be dropped in asynchronous code, so the VM owns it from here on.
        let mut vm = Self { program: None, runtime: Some(runtime) };
        match started {
            Ok(Ok(program)) => vm.program = Some(program),
            Ok(Err(error)) => return Err(failed(error.to_string())),
            Err(error) => return Err(failed(error.to_string())),
        }
        Ok(vm)
    }

    /// Returns the program, `None` once the VM is down.
    pub fn program(&self) -> Option<&T> {
        self.program.as_ref()
    }

    /// Drops everything at once: connections close, nothing is finished.
    pub fn kill(&mut self) {
        self.program = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Ends the program through `stop`, then the VM.
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

use derive_more::{Display, Error};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::{Request, Status};

const HEADER: &str = "skylarkpulley-secret";

/// Reasons for which a secret is rejected.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SecretError {
    /// The secret cannot be carried in a header.
    #[display("the secret must be visible ASCII characters")]
    NotAscii,
    /// The secret is too short to protect anything.
    #[display("the secret has {length} characters, at least 16 are needed")]
    TooShort {
        /// Number of characters of the rejected secret.
        length: usize,
    },
}

/// Shared secret with which the processes authenticate one another. As an interceptor it attaches
/// the secret on a client and is checked by [`Secret::verifier`] on a server.
#[derive(Clone, Debug)]
pub struct Secret {
    value: MetadataValue<Ascii>,
}

impl Secret {
    /// Checks and stores the secret in `text`. Surrounding white space is ignored.
    ///
    /// # Errors
    /// [`SecretError`] when the secret is shorter than 16 characters or not visible ASCII.
    pub fn new(text: &str) -> Result<Self, SecretError> {
        let text = text.trim();
        if text.len() < 16 {
            return Err(SecretError::TooShort { length: text.len() });
        }
        let mut value: MetadataValue<Ascii> = text.parse().map_err(|_| SecretError::NotAscii)?;
        value.set_sensitive(true);
        Ok(Self { value })
    }

    /// Returns the interceptor that a server uses to reject calls without this secret.
    pub fn verifier(&self) -> impl Interceptor + Clone + Send + Sync + 'static {
        let expected = self.value.clone();
        move |request: Request<()>| match request.metadata().get(HEADER) {
            Some(found) if is_equal(found.as_bytes(), expected.as_bytes()) => Ok(request),
            _ => Err(Status::unauthenticated("missing or wrong shared secret")),
        }
    }
}

impl Interceptor for Secret {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(HEADER, self.value.clone());
        Ok(request)
    }
}

/// Compares in time that does not depend on where the first difference is.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}

use derive_more::{Display, Error};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::{Request, Status};

/// Metadata key that carries the secret.
const SECRET_HEADER: &str = "skylarkpulley-secret";

/// Reasons for which a secret is rejected.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum SecretError {
    /// The secret cannot be carried in a header.
    #[display("the secret has characters other than visible ASCII")]
    NotAscii,
    /// The secret is too short to be safe against guessing.
    #[display("the secret has {length} characters, but at least 16 are required")]
    TooShort {
        /// Number of characters of the rejected secret.
        length: usize,
    },
}

/// Shared secret with which the processes authenticate one another. As an interceptor of a client
/// it adds the secret to each call; [`Secret::verifier`] checks the secret on the server.
#[derive(Clone, Debug)]
pub struct Secret {
    value: MetadataValue<Ascii>,
}

impl Secret {
    /// Checks and stores the secret in `text`. Surrounding white space is ignored.
    ///
    /// # Errors
    /// [`SecretError`] if the secret is shorter than 16 characters or is not visible ASCII.
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
        move |request: Request<()>| match request.metadata().get(SECRET_HEADER) {
            Some(received) if is_equal(received.as_bytes(), expected.as_bytes()) => Ok(request),
            _ => Err(Status::unauthenticated(
                "the shared secret is missing or wrong; the call was rejected",
            )),
        }
    }
}

impl Interceptor for Secret {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(SECRET_HEADER, self.value.clone());
        Ok(request)
    }
}

/// Compares `a` and `b` in a time that does not depend on the position of the first difference, so
/// that the response time does not reveal the secret.
fn is_equal(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |difference, (x, y)| difference | (x ^ y)) == 0
}

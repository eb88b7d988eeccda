/// Response of an upstream that is recorded for a key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Header names and values in their original order.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns a response without headers.
    pub fn new(status: u16, body: &[u8]) -> Self {
        Self { status, headers: Vec::new(), body: body.to_vec() }
    }

    /// Returns the number of bytes that the response occupies, without allocator overhead.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len() + 48);
        self.body.len() + headers.sum::<usize>()
    }
}

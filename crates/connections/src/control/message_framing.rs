/// Size of the prefix of a message: a flag and its length.
const PREFIX_BYTES: usize = 5;

/// Finds the ends of the messages in the body of a call.
#[derive(Debug, Default)]
pub struct MessageFraming {
    prefix: Vec<u8>,
    /// Bytes of the current message that are still missing.
    missing: usize,
    /// Bytes of the current message that have arrived.
    partial: usize,
}

impl MessageFraming {
    /// Records the next bytes. Reports whether a message has become complete.
    pub fn receive(&mut self, mut bytes: &[u8]) -> bool {
        let mut completed = false;
        while !bytes.is_empty() {
            if self.prefix.len() < PREFIX_BYTES {
                let (prefix, rest) =
                    bytes.split_at(bytes.len().min(PREFIX_BYTES - self.prefix.len()));
                self.prefix.extend_from_slice(prefix);
                bytes = rest;
                if let [_, first, second, third, fourth] = self.prefix[..] {
                    let length = u32::from_be_bytes([first, second, third, fourth]);
                    self.missing = length as usize;
                }
            }
            let arrived = bytes.len().min(self.missing);
            bytes = &bytes[arrived..];
            self.missing -= arrived;
            self.partial += arrived;
            if self.prefix.len() == PREFIX_BYTES && self.missing == 0 {
                *self = Self::default();
                completed = true;
            }
        }
        completed
    }

    /// Returns the number of bytes that have arrived of a message that is not complete.
    pub fn partial(&self) -> usize {
        self.partial
    }
}

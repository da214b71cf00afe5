//! Bytes that are charged to the box's memory for as long as anything holds them.

use bytes::Bytes;

struct Charged<B, G> {
    bytes: B,
    _guard: G,
}

impl<B: AsRef<[u8]>, G> AsRef<[u8]> for Charged<B, G> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Bytes that drop `guard`, such as their reservation, with the last of them: written, or given up.
pub fn guarded<G>(bytes: impl AsRef<[u8]> + Send + 'static, guard: G) -> Bytes
where
    G: Send + 'static,
{
    Bytes::from_owner(Charged { bytes, _guard: guard })
}

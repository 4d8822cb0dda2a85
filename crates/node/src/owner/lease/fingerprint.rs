//! The fingerprint by which a stored outcome is matched with the request that asks for it.
//!
//! An id alone does not prove that a request is the one that was executed: a client may use the id of another client's request. The
//! fingerprint covers all that determines what an execution does. It leaves out what may differ between two sendings of one request: the
//! deadline, the client's copy, and `again`.

use crate::clients::RequestMessage;
use basaltgw_registers::RequestFingerprint;

/// Bytes of the hash that are stored.
const FINGERPRINT_BYTES: usize = 16;

/// The fingerprint of a request with this body.
pub(in crate::owner) fn request_fingerprint(request: &RequestMessage, body: &[u8]) -> RequestFingerprint {
    let part = request.part.0.to_be_bytes();
    let group = request.group.0.to_be_bytes();
    let object = request.object.0.to_be_bytes();
    let key = request.idempotency_key.as_deref().unwrap_or_default();
    let fields = [request.class.as_bytes(), &object, &part, &group, key.as_bytes(), body];
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        // With its length, so that bytes can't move from one field to the next.
        hasher.update(&(field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    let mut bytes = [0; FINGERPRINT_BYTES];
    hasher.finalize_xof().fill(&mut bytes);
    RequestFingerprint(u128::from_be_bytes(bytes))
}

#[cfg(test)]
mod tests;

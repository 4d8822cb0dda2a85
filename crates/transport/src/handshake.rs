//! The handshake of a connection: hellos both ways, then the selection of the connection that becomes the link.
//!
//! Both routers may dial each other. The one with the smaller name selects one connection by a `Go` frame; the other connection is closed as a
//! duplicate. An accepted connection gets no hello before its peer is known to be listed. Inputs: the peer's hello, the list of peers, the
//! links that are up.

use crate::codec::{BadFrame, Codec, Kind};
use crate::connection_manager::{ConnectionManager, Link, SessionHello};
use crate::frame_stream::FrameStream;
use crate::{LinkError, PROTOCOL_VERSION};
use async_io::Async;
use asynchronous_codec::Encoder;
use basaltgw_types::{parse_name, RouterId};
use bytes::BytesMut;
use futures_lite::{AsyncWriteExt, StreamExt};
use std::net::TcpStream;
use std::rc::Rc;

/// Why a peer was rejected.
#[derive(Debug)]
pub struct Rejection {
    pub error: LinkError,
    /// What was expected and found, for the log.
    pub reason: String,
}

/// Why a connection did not become a link.
pub enum HandshakeError {
    /// The handshake took too long.
    TimedOut,
    /// The connection was lost, or closed by the peer, usually as a duplicate.
    ConnectionLost,
    /// There is a link already.
    Duplicate,
    /// The peer is not the expected one, or sent malformed data.
    Rejected(Rejection),
}

/// A connection that became a link.
pub struct EstablishedLink {
    pub link: Rc<Link>,
    /// Frames of the handshake that are still to be written.
    pub unwritten: BytesMut,
}

fn malformed(reason: impl Into<String>) -> Rejection {
    Rejection { error: LinkError::MalformedFrame, reason: reason.into() }
}

fn mismatch(reason: String) -> Rejection {
    Rejection { error: LinkError::PeerMismatch, reason }
}

impl ConnectionManager {
    /// True if this router has the smaller name, and so selects the connection.
    fn selects_connection(&self, peer: &RouterId) -> bool {
        self.me.borrow().hello.member.router < *peer
    }

    /// Decodes a hello, and checks that its sender is a listed peer.
    fn check_hello(&self, body: &[u8]) -> Result<SessionHello, Rejection> {
        // The protocol version comes first: other versions may encode the rest differently.
        let Ok((protocol, _)) = postcard::take_from_bytes::<u16>(body) else {
            return Err(malformed("a hello without a protocol version"));
        };
        if protocol != PROTOCOL_VERSION {
            return Err(mismatch(format!("protocol version {protocol}, expected {PROTOCOL_VERSION}")));
        }
        let Ok((session, [])) = postcard::take_from_bytes::<SessionHello>(body) else {
            return Err(malformed("a hello that can't be decoded"));
        };
        let hello = &session.hello;
        let router = &hello.member.router;
        for text in [&hello.cluster, &router.0, &hello.domain.branch, &hello.domain.machine] {
            parse_name(text).map_err(|invalid| malformed(invalid.to_string()))?;
        }
        let cluster = &self.me.borrow().hello.cluster;
        if hello.cluster != *cluster {
            let reason = format!("router {router} of the cluster {}, expected {cluster}", hello.cluster);
            return Err(mismatch(reason));
        }
        match self.listed.get(router) {
            // The own name is never listed, so a connection to itself is rejected as well.
            None => Err(mismatch(format!("router {router} is not listed"))),
            Some(listed) if listed.domain != hello.domain => {
                let (found, expected) = (&hello.domain, &listed.domain);
                Err(mismatch(format!("router {router} in {found:?}, but listed in {expected:?}")))
            }
            Some(_) => Ok(session),
        }
    }

    /// The bytes of this router's handshake frames.
    fn encode_handshake(&self, kinds: &[Kind]) -> Result<BytesMut, HandshakeError> {
        let failed = |error: String| HandshakeError::Rejected(malformed(error));
        let hello = postcard::to_stdvec(&*self.me.borrow()).map_err(|e| failed(e.to_string()))?;
        let mut bytes = BytesMut::new();
        for kind in kinds {
            let body = if *kind == Kind::Hello { &hello[..] } else { &[] };
            let encoded = Codec { max_body_bytes: 0 }.encode((*kind, body), &mut bytes);
            encoded.map_err(|e| failed(e.to_string()))?;
        }
        Ok(bytes)
    }
}

/// Performs the handshake. `dialled` is the expected peer of a connection that this router has dialled.
pub async fn handshake(
    manager: &Rc<ConnectionManager>,
    stream: &Async<TcpStream>,
    frames: &mut FrameStream,
    dialled: Option<&RouterId>,
) -> Result<EstablishedLink, HandshakeError> {
    if dialled.is_some() {
        write(stream, manager.encode_handshake(&[Kind::Hello])?).await?;
    }
    let body = expect_frame(frames, Kind::Hello).await?;
    let session = manager.check_hello(&body).map_err(HandshakeError::Rejected)?;
    let router = &session.hello.member.router;
    if let Some(expected) = dialled.filter(|d| *d != router) {
        let reason = format!("dialled router {expected}, found router {router}");
        return Err(HandshakeError::Rejected(mismatch(reason)));
    }
    if manager.selects_connection(router) {
        if manager.has_link(&session) {
            return Err(HandshakeError::Duplicate);
        }
        // The link is up before anything is awaited, so that no second connection is selected meanwhile.
        let kinds = if dialled.is_some() { &[Kind::Go][..] } else { &[Kind::Hello, Kind::Go] };
        let unwritten = manager.encode_handshake(kinds)?;
        return Ok(EstablishedLink { link: manager.link_up(session, dialled.is_some()), unwritten });
    }
    if dialled.is_none() {
        write(stream, manager.encode_handshake(&[Kind::Hello])?).await?;
    }
    expect_frame(frames, Kind::Go).await?;
    let link = manager.link_up(session, dialled.is_some());
    Ok(EstablishedLink { link, unwritten: BytesMut::new() })
}

async fn write(mut stream: &Async<TcpStream>, bytes: BytesMut) -> Result<(), HandshakeError> {
    stream.write_all(&bytes).await.map_err(|_| HandshakeError::ConnectionLost)
}

/// The next frame, which must be of this kind.
async fn expect_frame(frames: &mut FrameStream, kind: Kind) -> Result<Vec<u8>, HandshakeError> {
    match frames.next().await {
        Some(Ok(frame)) if frame.kind == kind => Ok(frame.body),
        Some(Ok(frame)) => {
            let (found, bytes) = (frame.kind, frame.body.len());
            let reason = format!("expected {kind:?}, found {found:?} of {bytes} bytes");
            Err(HandshakeError::Rejected(malformed(reason)))
        }
        Some(Err(BadFrame::Io(_))) | None => Err(HandshakeError::ConnectionLost),
        Some(Err(bad)) => Err(HandshakeError::Rejected(malformed(bad.to_string()))),
    }
}

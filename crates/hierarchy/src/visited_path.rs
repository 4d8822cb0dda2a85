//! The nodes that a fill has visited, by which a node detects a loop.
//!
//! As in RFC 8586 (CDN-Loop), section 2, each node appends itself and rejects a fill that already names it. The length is bounded
//! here, so that a node that does not follow this rule cannot make a request grow without limit.

use crate::plan::MAX_ID_BYTES;
use crate::NodeId;
use std::fmt;
use thiserror::Error;

/// Maximum number of nodes on a path: twice the number of tiers.
pub const MAX_PATH_NODES: usize = 16;

/// The nodes that a fill has visited, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct VisitedPath(Vec<NodeId>);

/// Why a node rejects a fill by its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LoopError {
    /// The fill has visited this node before.
    #[error("the fill has visited this node before")]
    AlreadyVisited,
    /// The fill has visited more nodes than any tree has tiers.
    #[error("the fill has visited {MAX_PATH_NODES} nodes, the maximum")]
    PathTooLong,
}

impl VisitedPath {
    /// The path with `node` appended.
    ///
    /// # Errors
    /// [`LoopError`] if `node` is on the path already, or the path has its maximum length.
    pub fn visit(&self, node: &NodeId) -> Result<Self, LoopError> {
        if self.contains(node) {
            return Err(LoopError::AlreadyVisited);
        }
        if self.0.len() >= MAX_PATH_NODES {
            return Err(LoopError::PathTooLong);
        }
        let mut nodes = self.0.clone();
        nodes.push(node.clone());
        Ok(Self(nodes))
    }

    /// True if the fill has visited `node`.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.0.contains(node)
    }

    /// The node visited last, which sends the request.
    pub fn last(&self) -> Option<&NodeId> {
        self.0.last()
    }

    /// The nodes, first to last.
    pub fn nodes(&self) -> &[NodeId] {
        &self.0
    }

    /// Parses a path in the form that `Display` writes: ids joined by `+`, the empty text for the empty path.
    /// `None` if the text has another form, a repeated node or more than [`MAX_PATH_NODES`] nodes.
    pub fn parse(text: &str) -> Option<Self> {
        if text.is_empty() {
            return Some(Self::default());
        }
        if text.len() > MAX_PATH_NODES * (MAX_ID_BYTES + 1) {
            return None;
        }
        let mut path = Self::default();
        for id in text.split('+') {
            let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
            if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(allowed) {
                return None;
            }
            path = path.visit(&NodeId::new(id)).ok()?;
        }
        Some(path)
    }
}

impl fmt::Display for VisitedPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, node) in self.0.iter().enumerate() {
            write!(f, "{}{}", if i > 0 { "+" } else { "" }, node.0)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

//! A version of the tree, and the checks that it passes before it acts.

use basaltgw_structures::hash::{fnv1a, mix};
use basaltgw_structures::rendezvous::RendezvousOrder;
use basaltgw_structures::Candidates;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Nodes of a plan.
pub const MOST_NODES: usize = 10_000;
/// Sources of a node.
pub const MOST_SOURCES: usize = 64;
/// The tier furthest from the archive.
pub const MOST_TIER: u8 = 8;
/// Bounds of weights, demands and capacities: beyond them they are slips of the pen.
const LARGEST: f64 = 1.0e9;
/// Nodes named in a message about a cycle.
const NAMED: usize = 12;

/// A node, by its id on the list.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub Arc<str>);

impl NodeId {
    /// The node of that id.
    pub fn new(id: &str) -> Self {
        Self(Arc::from(id))
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of a plan; a later one has a higher number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How far from the archive: 0 is the archive, 1 the hubs that ask it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tier(pub u8);

/// A node as it is written down.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// Its id on the list.
    pub id: NodeId,
    /// Its tier.
    pub tier: Tier,
    /// Where it stands, for people.
    pub location: String,
    /// Its size beside others that are sources of the same node.
    pub weight: f64,
    /// Fills a second that it asks for by itself (edge caches).
    pub demand: f64,
    /// Fills a second that it can take; infinite if not said.
    pub capacity: f64,
    /// Whom it may ask.
    pub sources: Vec<NodeId>,
}

/// A plan as it is written down.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSpec {
    /// Its version.
    pub version: Version,
    /// Its nodes.
    pub nodes: Vec<NodeSpec>,
}

/// Why a plan is refused. Nothing of it has acted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Refusal {
    /// Something about a node is out of bounds.
    #[error("node {node}: {what}")]
    Node {
        /// The node.
        node: NodeId,
        /// What is wrong, and what was expected.
        what: String,
    },
    /// There is none, or more than one.
    #[error("expected one node of tier 0 (the archive), found {0}")]
    Archive(usize),
    /// Too large.
    #[error("expected at most {MOST_NODES} nodes, found {0}")]
    Size(usize),
    /// It can't fill anything.
    #[error("node {0} does not reach the archive")]
    Unreached(NodeId),
    /// Nodes that ask each other in a ring.
    #[error("{} ask each other in a ring{}", ring(.nodes), among(.versions))]
    Cycle {
        /// The nodes of the ring, in order.
        nodes: Vec<NodeId>,
        /// The versions in whose mixture it stands.
        versions: Vec<Version>,
    },
    /// Without one node others have too much to do.
    #[error("without {lost}, {node} has {needs:.1} fills a second to do and can take {has:.1}")]
    Capacity {
        /// The node that is lost.
        lost: NodeId,
        /// The one that then has too much.
        node: NodeId,
        /// What it then has.
        needs: f64,
        /// What it can take.
        has: f64,
    },
    /// Without one node another can ask nobody.
    #[error("without {lost}, {node} can ask nobody")]
    Alone {
        /// The node that is lost.
        lost: NodeId,
        /// The one that then is alone.
        node: NodeId,
    },
    /// Older than, or the same as, what is in use.
    #[error("version {offered} is no later than {has}, which is in use")]
    Version {
        /// What was offered.
        offered: Version,
        /// What is in use or under way.
        has: Version,
    },
    /// A change is under way.
    #[error("version {0} is under way; take it back or wait until it is done")]
    Busy(Version),
    /// Nothing can be taken back.
    #[error("nothing is under way that could be taken back")]
    Nothing,
    /// The change needs too many steps.
    #[error("the change needs more than {0} steps")]
    Steps(usize),
}

impl Refusal {
    /// The node that it is about, if about one.
    pub fn node(&self) -> Option<&NodeId> {
        match self {
            Self::Node { node, .. } | Self::Unreached(node) | Self::Alone { node, .. } => Some(node),
            Self::Capacity { node, .. } => Some(node),
            Self::Cycle { nodes, .. } => nodes.first(),
            Self::Archive(_)
            | Self::Size(_)
            | Self::Version { .. }
            | Self::Busy(_)
            | Self::Nothing
            | Self::Steps(_) => None,
        }
    }
}

fn ring(nodes: &[NodeId]) -> String {
    let mut text: Vec<&str> = nodes.iter().take(NAMED).map(|n| &*n.0).collect();
    if nodes.len() > NAMED {
        text.push("…");
    }
    text.join(" → ")
}

fn among(versions: &[Version]) -> String {
    match versions {
        [] | [_] => String::new(),
        many => {
            let many: Vec<String> = many.iter().map(Version::to_string).collect();
            format!(" while versions {} are mixed", many.join(" and "))
        }
    }
}

/// A node's place in a plan.
pub(crate) type Ix = usize;

/// A checked plan.
#[derive(Clone)]
pub struct Plan {
    version: Version,
    nodes: Vec<NodeSpec>,
    at: HashMap<NodeId, Ix>,
    sources: Vec<Vec<Ix>>,
    /// By node: its sources but the archive, in rendezvous order for an object.
    order: Vec<Candidates>,
    /// The nodes of tier 1.
    homes: Candidates,
    archive: Ix,
}

impl fmt::Debug for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Plan({}, {} nodes)", self.version, self.nodes.len())
    }
}

impl Plan {
    /// Checks what is written down: all but what depends on other versions.
    pub fn check(spec: PlanSpec) -> Result<Self, Refusal> {
        let PlanSpec { version, nodes } = spec;
        if nodes.len() > MOST_NODES {
            return Err(Refusal::Size(nodes.len()));
        }
        let mut at = HashMap::with_capacity(nodes.len());
        for (i, node) in nodes.iter().enumerate() {
            bounds(node)?;
            if at.insert(node.id.clone(), i).is_some() {
                return Err(fault(&node.id, "named twice"));
            }
        }
        let archives: Vec<Ix> = (0..nodes.len()).filter(|i| nodes[*i].tier == Tier(0)).collect();
        let [archive] = archives[..] else { return Err(Refusal::Archive(archives.len())) };
        let mut sources = Vec::with_capacity(nodes.len());
        for node in &nodes {
            let mut of = Vec::with_capacity(node.sources.len());
            for source in &node.sources {
                let Some(ix) = at.get(source).copied() else {
                    return Err(fault(&node.id, format!("unknown source {source}")));
                };
                if of.contains(&ix) {
                    return Err(fault(&node.id, format!("source {source} named twice")));
                }
                of.push(ix);
            }
            if node.tier == Tier(1) && of != [archive] {
                return Err(fault(&node.id, "a node of tier 1 asks the archive and nobody else"));
            }
            sources.push(of);
        }
        let one = |i: &Ix| (*i, fnv1a(&nodes[*i].id.0), nodes[*i].weight);
        let order =
            sources.iter().map(|of| Candidates::new(of.iter().filter(|i| **i != archive).map(one))).collect();
        let homes: Vec<Ix> = (0..nodes.len()).filter(|i| nodes[*i].tier == Tier(1)).collect();
        let homes = Candidates::new(homes.iter().map(one));
        let plan = Self { version, at, sources, order, homes, archive, nodes };
        plan.reaches()?;
        if let Some(nodes) = crate::mix::cycle(&plan.sources) {
            let nodes = nodes.into_iter().map(|i| plan.nodes[i].id.clone()).collect();
            return Err(Refusal::Cycle { nodes, versions: vec![version] });
        }
        plan.capacity()?;
        Ok(plan)
    }

    fn reaches(&self) -> Result<(), Refusal> {
        let mut asked_by: Vec<Vec<Ix>> = vec![Vec::new(); self.nodes.len()];
        for (i, of) in self.sources.iter().enumerate() {
            of.iter().for_each(|s| asked_by[*s].push(i));
        }
        let mut reached = vec![false; self.nodes.len()];
        let mut next = vec![self.archive];
        while let Some(i) = next.pop() {
            if !std::mem::replace(&mut reached[i], true) {
                next.extend(&asked_by[i]);
            }
        }
        match reached.iter().position(|r| !r) {
            Some(i) => Err(Refusal::Unreached(self.nodes[i].id.clone())),
            None => Ok(()),
        }
    }

    /// Nodes from the edge towards the archive. The plan has no cycle.
    fn downwards(&self) -> Vec<Ix> {
        let mut askers = vec![0usize; self.nodes.len()];
        self.sources.iter().flatten().for_each(|s| askers[*s] += 1);
        let mut order: Vec<Ix> = (0..self.nodes.len()).filter(|i| askers[*i] == 0).collect();
        let mut done = 0;
        while let Some(i) = order.get(done).copied() {
            done += 1;
            for s in &self.sources[i] {
                askers[*s] -= 1;
                if askers[*s] == 0 {
                    order.push(*s);
                }
            }
        }
        order
    }

    /// Whether the rest can carry what is asked with all nodes there, and without any one that is a source.
    fn capacity(&self) -> Result<(), Refusal> {
        let order = self.downwards();
        let asked: Vec<bool> = {
            let mut asked = vec![false; self.nodes.len()];
            self.sources.iter().flatten().for_each(|s| asked[*s] = true);
            asked
        };
        let name = |i: Ix| self.nodes[i].id.clone();
        for (node, of) in self.sources.iter().enumerate() {
            if let [only] = of[..] {
                if only != self.archive {
                    return Err(Refusal::Alone { lost: name(only), node: name(node) });
                }
            }
        }
        if self.nodes.iter().all(|n| n.capacity.is_infinite()) {
            return Ok(());
        }
        let losses = (0..self.nodes.len()).filter(|i| asked[*i] && *i != self.archive);
        for lost in std::iter::once(None).chain(losses.map(Some)) {
            let mut load: Vec<f64> = self.nodes.iter().map(|n| n.demand).collect();
            for i in order.iter().copied().filter(|i| Some(*i) != lost && *i != self.archive) {
                let left = || self.sources[i].iter().copied().filter(|s| Some(*s) != lost);
                if load[i] > self.nodes[i].capacity {
                    let lost = lost.map_or_else(|| NodeId::new("nothing"), name);
                    return Err(Refusal::Capacity {
                        lost,
                        node: name(i),
                        needs: load[i],
                        has: self.nodes[i].capacity,
                    });
                }
                // The archive is asked by a node only if it has nobody else.
                let others: f64 = left().filter(|s| *s != self.archive).map(|s| self.nodes[s].weight).sum();
                for s in left() {
                    let share = match (s == self.archive, others > 0.0) {
                        (true, true) => 0.0,
                        (true, false) => 1.0,
                        (false, _) => self.nodes[s].weight / others,
                    };
                    load[s] += load[i] * share;
                }
            }
        }
        Ok(())
    }

    /// Its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Its nodes, as written down.
    pub fn nodes(&self) -> &[NodeSpec] {
        &self.nodes
    }

    /// What it was checked from.
    pub fn spec(&self) -> PlanSpec {
        PlanSpec { version: self.version, nodes: self.nodes.clone() }
    }

    /// A node of the plan.
    pub fn node(&self, id: &NodeId) -> Option<&NodeSpec> {
        self.at.get(id).map(|i| &self.nodes[*i])
    }

    /// The archive.
    pub fn archive(&self) -> &NodeId {
        &self.nodes[self.archive].id
    }

    /// The sources of a node for an object in the order in which they are asked; the archive, if permitted, comes last. None for a
    /// node that the plan does not name.
    pub fn sources(&self, node: &NodeId, object: u64) -> impl Iterator<Item = &NodeId> + '_ {
        let ix = self.at.get(node).copied();
        let order = ix.map(|i| self.order[i].order(key(object)));
        let archive = ix.filter(|i| self.sources[*i].contains(&self.archive)).map(|_| self.archive);
        order.into_iter().flatten().chain(archive).map(|i| &self.nodes[i].id)
    }

    /// The home of an object: the one node of tier 1 that asks the archive for it.
    pub fn home(&self, object: u64) -> Option<&NodeId> {
        self.homes(object).next()
    }

    /// The nodes of tier 1 in the order in which they are an object's home.
    pub fn homes(&self, object: u64) -> impl Iterator<Item = &NodeId> + '_ {
        let order: RendezvousOrder<'_> = self.homes.order(key(object));
        order.map(|i| &self.nodes[i].id)
    }

    /// Places of a node's sources, by place.
    pub(crate) fn edges(&self) -> &[Vec<Ix>] {
        &self.sources
    }
}

/// The key under which an object's source is found: that of the design's parent.
fn key(object: u64) -> u64 {
    mix(object, 0)
}

fn fault(node: &NodeId, what: impl Into<String>) -> Refusal {
    Refusal::Node { node: node.clone(), what: what.into() }
}

fn bounds(node: &NodeSpec) -> Result<(), Refusal> {
    let (id, in_bounds) = (&node.id, |v: f64| v.is_finite() && (0.0..=LARGEST).contains(&v));
    if id.0.is_empty() || id.0.len() > 64 {
        return Err(fault(id, "expected an id of 1 to 64 bytes"));
    }
    if node.tier.0 > MOST_TIER {
        return Err(fault(id, format!("expected a tier of 0 to {MOST_TIER}, found {}", node.tier.0)));
    }
    if node.weight <= 0.0 || !in_bounds(node.weight) {
        return Err(fault(
            id,
            format!("expected a weight above 0 and at most {LARGEST:.0}, found {}", node.weight),
        ));
    }
    if !in_bounds(node.demand) {
        return Err(fault(id, format!("expected a demand of 0 to {LARGEST:.0}, found {}", node.demand)));
    }
    if node.capacity != f64::INFINITY && (node.capacity <= 0.0 || !in_bounds(node.capacity)) {
        return Err(fault(id, format!("expected a capacity above 0, found {}", node.capacity)));
    }
    if node.sources.len() > MOST_SOURCES {
        return Err(fault(
            id,
            format!("expected at most {MOST_SOURCES} sources, found {}", node.sources.len()),
        ));
    }
    if node.sources.contains(id) {
        return Err(fault(id, "its own source"));
    }
    match (node.tier, node.sources.is_empty()) {
        (Tier(0), false) => Err(fault(id, "the archive has no sources")),
        (Tier(1..), true) => Err(fault(id, "expected a source")),
        _ => Ok(()),
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub fn node(id: &str, tier: u8, sources: &[&str]) -> NodeSpec {
        NodeSpec {
            id: NodeId::new(id),
            tier: Tier(tier),
            location: String::new(),
            weight: 1.0,
            demand: if tier >= 3 { 10.0 } else { 0.0 },
            capacity: f64::INFINITY,
            sources: sources.iter().map(|s| NodeId::new(s)).collect(),
        }
    }

    pub fn spec(version: u64, nodes: Vec<NodeSpec>) -> PlanSpec {
        PlanSpec { version: Version(version), nodes }
    }

    /// An archive, hubs, districts that may ask every hub, and edges that may ask every district.
    pub fn tree(version: u64, hubs: &[&str], districts: &[&str], edges: &[&str]) -> PlanSpec {
        let mut nodes = vec![node("archive", 0, &[])];
        nodes.extend(hubs.iter().map(|h| node(h, 1, &["archive"])));
        // Who has one source only may ask the archive as well, or its loss would leave it alone.
        fn of<'a>(some: &[&'a str]) -> Vec<&'a str> {
            some.iter().copied().chain((some.len() < 2).then_some("archive")).collect()
        }
        nodes.extend(districts.iter().map(|d| node(d, 2, &of(hubs))));
        nodes.extend(edges.iter().map(|e| node(e, 3, &of(districts))));
        spec(version, nodes)
    }

    fn refused(nodes: Vec<NodeSpec>) -> String {
        Plan::check(spec(1, nodes)).expect_err("a refusal").to_string()
    }

    #[test]
    fn a_tree_is_taken_and_everyone_reckons_alike() {
        let plan = Plan::check(tree(1, &["h1", "h2", "h3"], &["d1", "d2"], &["e1", "e2"])).expect("a plan");
        for object in 0..200 {
            let order: Vec<_> = plan.sources(&NodeId::new("d1"), object).collect();
            assert_eq!(order, plan.sources(&NodeId::new("d2"), object).collect::<Vec<_>>());
            assert_eq!(order.len(), 3);
            assert_eq!(
                plan.home(object),
                Some(order[0]),
                "an object's home is the first hub for all who may ask all"
            );
        }
        assert_eq!(plan.sources(&NodeId::new("nobody"), 1).count(), 0);
    }

    #[test]
    fn what_is_wrong_is_named() {
        let tree = || tree(1, &["h1", "h2"], &["d1"], &["e1"]).nodes;
        let with = |change: &dyn Fn(&mut Vec<NodeSpec>)| {
            let mut nodes = tree();
            change(&mut nodes);
            refused(nodes)
        };
        assert_eq!(with(&|n| n[3].sources.push(NodeId::new("x"))), "node d1: unknown source x");
        assert_eq!(with(&|n| n.push(node("h1", 1, &["archive"]))), "node h1: named twice");
        assert_eq!(with(&|n| n[4].sources.push(NodeId::new("d1"))), "node e1: source d1 named twice");
        assert_eq!(with(&|n| n[3].sources.push(NodeId::new("d1"))), "node d1: its own source");
        assert_eq!(with(&|n| n[3].sources.clear()), "node d1: expected a source");
        assert_eq!(with(&|n| n[0].tier = Tier(4)), "node archive: expected a source");
        assert_eq!(
            with(&|n| n.push(node("b", 0, &[]))),
            "expected one node of tier 0 (the archive), found 2"
        );
        assert_eq!(with(&|n| n[3].tier = Tier(9)), "node d1: expected a tier of 0 to 8, found 9");
        assert_eq!(
            with(&|n| n[1].sources.push(NodeId::new("h2"))),
            "node h1: a node of tier 1 asks the archive and nobody else"
        );
        for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1.0e12] {
            assert!(with(&|n| n[1].weight = weight).starts_with("node h1: expected a weight"));
        }
        assert!(with(&|n| n[1].capacity = -3.0).starts_with("node h1: expected a capacity"));
        assert!(with(&|n| n[4].demand = f64::NAN).starts_with("node e1: expected a demand"));
    }

    #[test]
    fn rings_and_islands_are_refused() {
        let ring = |names: [&str; 3]| {
            let mut nodes = tree(1, &["h1"], &[], &[]).nodes;
            for (i, name) in names.iter().enumerate() {
                nodes.push(node(name, 2, &["h1", names[(i + 1) % 3]]));
            }
            nodes
        };
        let text = refused(ring(["a", "b", "c"]));
        assert!(
            text.ends_with("ask each other in a ring") && ["a", "b", "c"].iter().all(|n| text.contains(n)),
            "{text}"
        );
        let mut island = tree(1, &["h1"], &["d1"], &["e1"]).nodes;
        island.push(node("x", 2, &["y"]));
        island.push(node("y", 2, &["x"]));
        assert!(refused(island).contains("does not reach the archive"));
    }

    #[test]
    fn the_loss_of_any_one_hub_must_leave_room() {
        let sized = |hubs: &[&str], capacity: f64| {
            let mut tree = tree(1, hubs, &["d1", "d2"], &["e1", "e2", "e3"]);
            tree.nodes.iter_mut().filter(|n| n.tier == Tier(1)).for_each(|n| n.capacity = capacity);
            Plan::check(tree)
        };
        assert!(sized(&["h1", "h2", "h3"], 15.0).is_ok(), "30 between two");
        let short = sized(&["h1", "h2", "h3"], 14.0).expect_err("30 between two").to_string();
        assert!(
            short.starts_with("without h1, h2 has 15.0 fills a second to do and can take 14.0"),
            "{short}"
        );
        let mut alone = tree(1, &["h1"], &["d1", "d2"], &["e1"]);
        alone.nodes[2].sources.pop();
        assert_eq!(Plan::check(alone).expect_err("none left").to_string(), "without h1, d1 can ask nobody");
    }

    #[test]
    fn eight_tiers_are_taken() {
        let mut nodes = vec![node("archive", 0, &[])];
        for tier in 1..=MOST_TIER {
            for side in ["a", "b"] {
                let below = [format!("a{}", tier - 1), format!("b{}", tier - 1)];
                let sources: Vec<&str> =
                    if tier == 1 { vec!["archive"] } else { below.iter().map(String::as_str).collect() };
                nodes.push(node(&format!("{side}{tier}"), tier, &sources));
            }
        }
        assert!(Plan::check(spec(1, nodes)).is_ok());
    }
}

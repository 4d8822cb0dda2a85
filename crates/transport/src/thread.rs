//! The links' thread: its start, its tasks, its end.

use crate::counts::{count, Counts};
use crate::hub::{Greeting, Hub};
use crate::lanes::LANES;
use crate::limits::{ACCEPT_AGAIN, CONNECT, DIAL_FIRST, DIAL_MOST, ENDING, ORDER_ROW, UNKNOWN, UNMET};
use crate::link::{connection, End};
use crate::outbox::port;
use crate::port::{Links, TransportHandle, TransportUser};
use crate::{DialPolicy, Hello, Limits, LinkError, PeerConfig, Settings, PROTOCOL_VERSION};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use basaltgw_types::RouterId;
use futures_lite::{future, FutureExt};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{resume_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::Arc;

/// Listens at `listen`, dials those that are `listed` or of them the wanted ones, and carries frames until [`crate::Order::End`] or until a port is dropped.
///
/// `draw` is random and another at each start of a process.
///
/// # Errors
/// If the address can't be listened at, the thread can't be started, a limit is 0, a setting can't be, a lane is nobody's, or the list names a router twice
/// or this one.
pub fn start(
    me: Hello,
    listen: SocketAddr,
    listed: Vec<PeerConfig>,
    (limits, settings): (Limits, Settings),
    draw: u64,
    users: [TransportUser; 2],
) -> io::Result<Links> {
    let wrong = |what: String| Err(io::Error::new(io::ErrorKind::InvalidInput, what));
    let Limits {
        max_queued_frames: frames,
        max_queued_bytes: bytes,
        max_frame_bytes: frame,
        ring_entries: ring,
    } = limits;
    if frames == 0
        || bytes < frame
        || frame == 0
        || ring == 0
        || u32::try_from(frame).is_ok_and(|f| f == u32::MAX)
    {
        return wrong(format!(
            "limits of links: expected frames, frame, ring over 0, bytes at least frame: {limits:?}"
        ));
    }
    if let Err(what) = settings.fault() {
        return wrong(format!("settings of links: {what}"));
    }
    if me.protocol != PROTOCOL_VERSION {
        return wrong(format!("the own protocol is {}, expected {PROTOCOL_VERSION}", me.protocol));
    }
    if let Some(lane) = LANES.iter().find(|l| !users.iter().any(|u| u.lanes.contains(l))) {
        return wrong(format!("no user takes the lane {lane:?}"));
    }
    let mut by_name = BTreeMap::new();
    for peer in listed {
        let name = peer.router.clone();
        if name == me.member.router || by_name.insert(name.clone(), peer).is_some() {
            return wrong(format!("peers: expected each other router once, found {name} again"));
        }
    }
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let listener = Async::new(listener)?;
    let counts = Arc::new(Counts::default());
    let [first, second] = users;
    let ((one, out_one), (two, out_two)) = (port(first, &limits), port(second, &limits));
    let counted = counts.clone();
    let run = move || {
        let me = Greeting { hello: me, start: draw };
        run(listener, Hub::new(me, by_name, (limits, settings), [out_one, out_two], counted))
    };
    let thread = std::thread::Builder::new().name("peers".into()).spawn(run)?;
    Ok(Links { ports: (one, two), rest: TransportHandle { thread, counts, address } })
}

/// What the thread's main task does next.
enum Next {
    /// A connection came, or accepting failed.
    Accepted(io::Result<Async<TcpStream>>),
    /// A router is wanted.
    Dial(RouterId),
    End,
}

fn run(listener: Async<TcpListener>, hub: Hub) {
    let hub = Rc::new(hub);
    let tasks = LocalExecutor::new();
    for user in 0..2 {
        tasks.spawn(seen(hub.clone(), orders(hub.clone(), user))).detach();
    }
    let dials = |name: RouterId| tasks.spawn(seen(hub.clone(), dial(hub.clone(), name))).detach();
    match hub.settings.dial_policy {
        DialPolicy::All => hub.listed.keys().cloned().for_each(dials),
        DialPolicy::OnDemand { .. } => {}
    }
    let body = async {
        loop {
            let accepted = async { Next::Accepted(listener.accept().await.map(|(stream, _)| stream)) };
            match future::or(told(&hub), accepted).await {
                Next::End => break,
                Next::Dial(name) => dials(name),
                Next::Accepted(Ok(stream)) => {
                    count(&hub.counts.peer_accepted);
                    if hub.unknown.get() >= UNKNOWN {
                        count(&hub.counts.peer_no_place);
                        continue;
                    }
                    hub.unknown.set(hub.unknown.get() + 1);
                    let own = hub.clone();
                    let carry = async move { _ = connection(&own, stream, None, None).await };
                    tasks.spawn(seen(hub.clone(), carry)).detach();
                }
                Next::Accepted(Err(e)) => {
                    hub.refuse(&hub.counts.peer_accept_failed, &format!("accept: {e}"));
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
        let empty = async {
            while hub.panic.borrow().is_none() {
                let listener = hub.changed.listen();
                if hub.links.borrow().is_empty() {
                    return;
                }
                listener.await;
            }
        };
        let late = async { _ = Timer::after(ENDING).await };
        future::or(empty, late).await;
        let links: Vec<_> = hub.links.borrow().values().cloned().collect();
        links.iter().for_each(|link| hub.down(link, LinkError::NotConnected));
    };
    async_io::block_on(tasks.run(body));
    // The thread ends as its task did: whoever joins it has the cause.
    if let Some(cause) = hub.panic.take() {
        resume_unwind(cause);
    }
}

/// Runs a task. Its panic would be the executor's to keep; it ends the thread.
async fn seen(hub: Rc<Hub>, task: impl Future<Output = ()>) {
    if let Err(cause) = AssertUnwindSafe(task).catch_unwind().await {
        *hub.panic.borrow_mut() = Some(cause);
        hub.end();
    }
}

/// Waits for the end to begin, or for a router that is to be dialled.
async fn told(hub: &Hub) -> Next {
    loop {
        let listener = hub.changed.listen();
        if hub.ending.get() {
            return Next::End;
        }
        if let Some(name) = hub.next_dial() {
            return Next::Dial(name);
        }
        listener.await;
    }
}

/// Carries out a user's orders, and tells what had no room once there is some.
async fn orders(hub: Rc<Hub>, user: usize) {
    let Some(outbox) = hub.outboxes.get(user) else { return };
    let bell = outbox.borrow().bell.clone();
    loop {
        for row in 1.. {
            let order = {
                let mut outbox = outbox.borrow_mut();
                let free = outbox.flush();
                if outbox.room() {
                    hub.room.notify(usize::MAX);
                }
                // What was refused is told before more is taken: what waits to be told stays bounded.
                if free {
                    outbox.order()
                } else {
                    None
                }
            };
            let Some(order) = order else { break };
            hub.order(user, order);
            if row % ORDER_ROW == 0 {
                future::yield_now().await;
            }
        }
        if hub.ending.get() {
            return;
        }
        if bell.recv().await.is_err() {
            // The user is gone, and nobody is left to tell: its last orders, and the end.
            while let Some(order) = { outbox.borrow_mut().order() } {
                hub.order(user, order);
            }
            hub.end();
        }
    }
}

/// Keeps a link to a router while it is wanted: dials while there is none, and waits longer each time.
async fn dial(hub: Rc<Hub>, name: RouterId) {
    let Some(address) = hub.listed.get(&name).map(|l| l.address) else { return };
    let (mut wait, mut unmet) = (DIAL_FIRST, 0);
    while !hub.ending.get() {
        let listener = hub.changed.listen();
        if hub.dialled_enough(&name) {
            return;
        }
        if hub.links.borrow().contains_key(&name) {
            listener.await;
            continue;
        }
        let place = hub.place().await;
        // While it waited for a place the other may have dialled, or nobody want it any more.
        if hub.links.borrow().contains_key(&name) || hub.dialled_enough(&name) {
            continue;
        }
        count(&hub.counts.peer_dialled);
        let late = async {
            Timer::after(CONNECT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let end = match future::or(Async::<TcpStream>::connect(address), late).await {
            Ok(stream) => connection(&hub, stream, Some(&name), place).await,
            Err(_) => {
                drop(place);
                count(&hub.counts.peer_dial_failed);
                End::Refused
            }
        };
        unmet = if end == End::Unmet { unmet + 1 } else { 0 };
        let reached = match end {
            End::Good | End::Brief | End::Second => true,
            End::Unmet => unmet < UNMET,
            End::Refused => false,
        };
        if !reached && !hub.links.borrow().contains_key(&name) {
            hub.unreached(&name);
        }
        if end == End::Good {
            wait = DIAL_FIRST;
        }
        let part = 0.5 + 0.5 * hub.draws.borrow_mut().f64();
        Timer::after(wait.mul_f64(part)).await;
        wait = (wait * 2).min(DIAL_MOST);
    }
}

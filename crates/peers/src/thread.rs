//! The links' thread: its start, its tasks, its end.

use crate::counts::{count, Counts};
use crate::hub::{Greeting, Hub};
use crate::lanes::LANES;
use crate::limits::{ACCEPT_AGAIN, CONNECT, DIAL_FIRST, DIAL_MOST, ENDING, ORDER_ROW, UNKNOWN};
use crate::link::connection;
use crate::port::{port, Links, Outbox, Rest, User};
use crate::{Hello, Limits, Listed, Why, PROTOCOL};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use basaltgw_ids::RouterId;
use futures_lite::{future, FutureExt};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{resume_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::Arc;

/// Listens at `listen`, dials all that are `listed`, and carries frames until [`crate::Order::End`] or until a port is dropped.
///
/// `draw` is random and another at each start of a process.
///
/// # Errors
/// If the address can't be listened at, the thread can't be started, a limit is 0, a lane is nobody's, or the list names a router twice
/// or this one.
pub fn start(
    me: Hello,
    listen: SocketAddr,
    listed: Vec<Listed>,
    limits: Limits,
    draw: u64,
    users: [User; 2],
) -> io::Result<Links> {
    let wrong = |what: String| Err(io::Error::new(io::ErrorKind::InvalidInput, what));
    let Limits { frames, bytes, frame, ring } = limits;
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
    if me.protocol != PROTOCOL {
        return wrong(format!("the own protocol is {}, expected {PROTOCOL}", me.protocol));
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
        run(Greeting { hello: me, start: draw }, listener, by_name, limits, [out_one, out_two], counted)
    };
    let thread = std::thread::Builder::new().name("peers".into()).spawn(run)?;
    Ok(Links { ports: (one, two), rest: Rest { thread, counts, address } })
}

fn run(
    me: Greeting,
    listener: Async<TcpListener>,
    listed: BTreeMap<RouterId, Listed>,
    limits: Limits,
    outboxes: [Outbox; 2],
    counts: Arc<Counts>,
) {
    let names: Vec<RouterId> = listed.keys().cloned().collect();
    let hub = Rc::new(Hub::new(me, listed, limits, outboxes, counts));
    let tasks = LocalExecutor::new();
    for user in 0..2 {
        tasks.spawn(seen(hub.clone(), orders(hub.clone(), user))).detach();
    }
    for name in names {
        tasks.spawn(seen(hub.clone(), dial(hub.clone(), name))).detach();
    }
    let body = async {
        while let Some(accepted) = future::or(ended(&hub), async { Some(listener.accept().await) }).await {
            match accepted {
                Ok((stream, _)) => {
                    count(&hub.counts.peer_accepted);
                    if hub.unknown.get() >= UNKNOWN {
                        count(&hub.counts.peer_no_place);
                        continue;
                    }
                    hub.unknown.set(hub.unknown.get() + 1);
                    let own = hub.clone();
                    let carry = async move { _ = connection(&own, stream, None).await };
                    tasks.spawn(seen(hub.clone(), carry)).detach();
                }
                Err(e) => {
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
        links.iter().for_each(|link| hub.down(link, Why::NoLink));
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

/// Waits for the end to begin.
async fn ended<T>(hub: &Hub) -> Option<T> {
    loop {
        let listener = hub.changed.listen();
        if hub.ending.get() {
            return None;
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

/// Keeps a link to a router: dials while there is none, and waits longer each time.
async fn dial(hub: Rc<Hub>, name: RouterId) {
    let Some(address) = hub.listed.get(&name).map(|l| l.address) else { return };
    let mut wait = DIAL_FIRST;
    while !hub.ending.get() {
        let listener = hub.changed.listen();
        if hub.links.borrow().contains_key(&name) {
            listener.await;
            continue;
        }
        count(&hub.counts.peer_dialled);
        let late = async {
            Timer::after(CONNECT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let good = match future::or(Async::<TcpStream>::connect(address), late).await {
            Ok(stream) => connection(&hub, stream, Some(&name)).await,
            Err(_) => {
                count(&hub.counts.peer_dial_failed);
                false
            }
        };
        if good {
            wait = DIAL_FIRST;
        }
        let part = 0.5 + 0.5 * hub.draws.borrow_mut().f64();
        Timer::after(wait.mul_f64(part)).await;
        wait = (wait * 2).min(DIAL_MOST);
    }
}

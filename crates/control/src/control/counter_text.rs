//! Counters of registers, overlay and persistent links as `name=value` pairs. The names are part of the operators' interface.

use super::Control;
use basaltgw_overlay as overlay;
use basaltgw_overlay::Overlay;
use basaltgw_registers::Registers;
use std::fmt::Write as _;

impl Control {
    /// Updates the gauges and texts of [`Self::counts`].
    pub fn refresh_counts(&mut self) {
        self.counts.connected_peers = self.reachability.connected_count() as u64;
        self.counts.registers = registers_text(&self.parts.registers);
        let overlay = self.dissemination.as_ref().map(|d| overlay_text(d.overlay()));
        let links = self.persistent_links.as_ref().map(|links| links.counter_text());
        self.counts.overlay = overlay.unwrap_or_default() + &links.unwrap_or_default();
    }
}

fn registers_text(registers: &Registers) -> String {
    let c = registers.counters();
    let (count, _) = registers.size();
    let (batches, records) = registers.stores();
    let mut text = format!("holds={count} holds_kept={} holds_stood={} ", c.kept, c.stands);
    for (reason, count) in &c.unkept {
        let _ = write!(text, "holds_unkept_{}={count} ", reason.counter_name());
    }
    let _ = write!(text, "holds_rounds={} holds_rounds_short={} ", c.rounds, c.short);
    let _ = write!(text, "holds_messages={} holds_batches={batches} holds_records={records}", c.messages);
    text
}

fn overlay_text(overlay: &Overlay) -> String {
    let c: &overlay::Counters = overlay.counters();
    let mut text = format!("overlay_neighbours={} ", overlay.links().count());
    let _ = write!(text, "overlay_said={} overlay_said_for_others={} ", c.said, c.said_for_others);
    let _ = write!(text, "overlay_said_for_below={} overlay_asked={} ", c.said_for_below, c.asked);
    let _ = write!(text, "overlay_given={} overlay_settled={} ", c.given, c.settled);
    let _ = write!(text, "overlay_below_full={} ", c.below_full);
    let _ = write!(text, "overlay_new={} overlay_known={} ", c.told, c.same + c.again);
    let _ = write!(text, "overlay_spared={} overlay_unheld={} ", c.spared, c.unheld);
    let _ = write!(text, "overlay_fetched={} overlay_missed={} ", c.fetches, c.missed);
    let _ = write!(text, "overlay_refused={} ", c.full_here + c.not_listed + c.eager_refused);
    let _ = write!(text, "overlay_lost={} overlay_silent={} ", c.lost, c.silent);
    let _ = write!(text, "overlay_stray={} overlay_garbled={} ", c.stray, c.garbled);
    let _ = write!(text, "overlay_frames_sent={} overlay_frames_got={} ", c.frames_sent, c.frames_got);
    let _ = write!(text, "overlay_bytes_sent={} overlay_bytes_got={} ", c.bytes_sent, c.bytes_got);
    let [purge, table, evidence, background] = c.waited;
    let _ = write!(text, "overlay_waited_purge={purge} overlay_waited_table={table} ");
    let _ = write!(text, "overlay_waited_evidence={evidence} overlay_waited_filling={background}");
    text
}

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
    let (batches, records) = registers.write_counts();
    let mut text = format!("holds={count} holds_kept={} holds_stood={} ", c.committed, c.conflicts);
    for (reason, count) in &c.unavailable {
        let _ = write!(text, "holds_unkept_{}={count} ", reason.counter_name());
    }
    let _ = write!(text, "holds_rounds={} holds_rounds_short={} ", c.rounds, c.one_phase_rounds);
    let _ = write!(text, "holds_messages={} holds_batches={batches} holds_records={records}", c.messages);
    text
}

fn overlay_text(overlay: &Overlay) -> String {
    let c: &overlay::Counters = overlay.counters();
    let mut text = format!("overlay_neighbours={} ", overlay.links().count());
    let _ = write!(text, "overlay_said={} overlay_said_for_others={} ", c.published, c.published_for_others);
    let _ = write!(text, "overlay_said_for_below={} overlay_asked={} ", c.published_escalated, c.queried);
    let _ = write!(text, "overlay_given={} overlay_settled={} ", c.escalated, c.converged_spans);
    let _ = write!(text, "overlay_below_full={} ", c.escalations_rejected);
    let _ = write!(
        text,
        "overlay_new={} overlay_known={} ",
        c.delivered,
        c.duplicate_contents + c.duplicate_numbers
    );
    let _ = write!(text, "overlay_spared={} overlay_unheld={} ", c.pending_resolved, c.pending_full);
    let _ = write!(text, "overlay_fetched={} overlay_missed={} ", c.fetches, c.reported_gaps);
    let _ = write!(text, "overlay_refused={} ", c.links_rejected + c.not_listed + c.pushes_rejected);
    let _ = write!(text, "overlay_lost={} overlay_silent={} ", c.lost_links, c.silent_links);
    let _ = write!(text, "overlay_stray={} overlay_garbled={} ", c.stray_events, c.malformed_frames);
    let _ = write!(text, "overlay_frames_sent={} overlay_frames_got={} ", c.frames_sent, c.frames_received);
    let _ = write!(text, "overlay_bytes_sent={} overlay_bytes_got={} ", c.bytes_sent, c.bytes_received);
    let [purge, table, evidence, background] = c.budget_waits;
    let _ = write!(text, "overlay_waited_purge={purge} overlay_waited_table={table} ");
    let _ = write!(text, "overlay_waited_evidence={evidence} overlay_waited_filling={background}");
    text
}

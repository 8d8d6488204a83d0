use crate::prelude::*;

/// How many more tasks of a group each zone may take: caps of the queue, and the reserve for urgent work.
pub fn zone_allowance(
    state: &ClusterState,
    book: &RoundBook<'_>,
    policies: PlacementPolicies,
    urgent: bool,
    group: &ReadyGroup,
) -> BTreeMap<Name, u64> {
    let mut allowance = BTreeMap::new();
    for (zone, (room, used)) in &state.zone_room {
        let Some(queue) = state.placement_queue_settings(zone, &group.queue, &group.service) else { continue };
        let mut most = cap_left(&queue.settings, *room, book.queue_use(zone, &group.queue), group.room);
        if !urgent {
            let zone_settings = state.effective.zone(zone);
            let reserve = zone_settings.map_or_else(|| QueueSettings::default().urgent_reserve, |z| z.inherited.settings.urgent_reserve);
            let open = room.scaled(1.0 - reserve).sub(used.add(book.given_in(zone)));
            // Where the reserve holds no GPUs, lesser work may use them all.
            let open = if policies.reserve_gpus { open } else { open.with_gpus(u64::MAX) };
            most = most.min(open.count_of(group.room));
        }
        allowance.insert(zone.clone(), most);
    }
    allowance
}

/// How many more tasks a queue's caps in a zone allow.
fn cap_left(settings: &QueueSettings, zone_room: Room, (tasks, used): Use, one: Room) -> u64 {
    let by_count = if settings.cap_tasks > 0 { settings.cap_tasks.saturating_sub(tasks) } else { u64::MAX };
    let cap = Room::new(
        (zone_room.cpu_millis as f64 * settings.cap_cpu_share) as u64,
        (zone_room.memory_mb as f64 * settings.cap_memory_share) as u64,
    );
    by_count.min(cap.sub(used).with_gpus(u64::MAX).count_of(one))
}

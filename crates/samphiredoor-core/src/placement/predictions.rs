//! What operators see of the capacity of each service, as overload control predicts it.

use super::{Placement, name_hash};
use crate::{Name, overload::OwedItems};

/// Predictions for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePrediction {
    /// Name of the service.
    pub service: Name,
    /// Predicted wait of a new online request for a slot; `None` while the completion rate is unknown.
    pub wait_ms: Option<f64>,
    /// Completions per second that free a slot for this gateway while all slots are taken; `None` if they are unknown.
    pub completions_per_s: Option<f64>,
    /// Work left in unfinished batch items, in whole items, over all gateways whose figures are known.
    pub owed_items: u64,
    /// Slot time that this work needs; `None` if there is some and no run time of an item is known in the cell.
    pub owed_ms: Option<u64>,
    /// Predicted time until all of them are done; `None` if it is unknown, or no slots are left to items.
    pub owed_done_ms: Option<u64>,
}

impl Placement {
    /// Predictions for each service for which overload control is active.
    pub fn predictions(&self, now_ms: u64) -> Vec<ServicePrediction> {
        let Some(overload) = &self.overload else { return Vec::new() };
        let own = self.owed_items(now_ms).into_iter();
        let owed: Vec<OwedItems> = own.chain(overload.peers_owed(now_ms)).collect();
        let mut services: Vec<&Name> =
            self.targets.values().map(|it| &it.entry.service).chain(self.queues.keys()).collect();
        services.sort_unstable();
        services.dedup();
        let active = services.into_iter().filter(|it| overload.is_active(it));
        active.map(|it| self.prediction_for(now_ms, it, &owed)).collect()
    }

    fn prediction_for(&self, now_ms: u64, service: &Name, owed: &[OwedItems]) -> ServicePrediction {
        let queues = self.queues.get(service);
        let waiting = queues.map_or(0, |it| it.online.len());
        let inputs = self.admission_inputs(now_ms, service, waiting);
        let item_ms = self.item_run_ms(now_ms, service);
        let key = name_hash(service);
        let of_service = owed.iter().filter(|it| it.service == key);
        let owed_items = of_service.map(|it| u64::from(it.items)).sum();
        let owed_ms = (item_ms > 0 || owed_items == 0).then(|| owed_items * item_ms);
        let slots = self.overload.as_ref().and_then(|it| {
            let slots = it.batch_admission.slots_left(now_ms, service);
            slots.filter(|it| *it > 0.0)
        });
        ServicePrediction {
            service: Name::clone(service),
            wait_ms: match waiting == 0 && self.has_slot_in_cell(now_ms, service) {
                true => Some(0.0),
                false => inputs.completions_per_ms.map(|it| (waiting + 1) as f64 / it),
            },
            completions_per_s: inputs.completions_per_ms.map(|it| it * 1_000.0),
            owed_items,
            owed_ms,
            owed_done_ms: match (owed_ms, slots) {
                (Some(0), _) => Some(0),
                (Some(owed_ms), Some(slots)) => {
                    // The last item takes a whole run, however many slots there are.
                    Some(((owed_ms as f64 / slots) as u64).max(item_ms))
                }
                _ => None,
            },
        }
    }
}

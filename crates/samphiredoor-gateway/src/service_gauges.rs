//! Gauges of what overload control predicts for each service.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
    registry::Registry,
};
use samphiredoor_core::placement::ServicePrediction;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

type ByService = Family<ServiceLabel, Gauge<f64, AtomicU64>>;

/// Gauges by service. What is unknown has no value.
pub struct ServiceGauges {
    wait_ms: ByService,
    completions_per_s: ByService,
    owed_items: ByService,
    owed_slot_s: ByService,
    owed_done_s: ByService,
}

impl ServiceGauges {
    /// Registers the gauges.
    pub fn new(registry: &mut Registry) -> ServiceGauges {
        let mut by_service = |name, help| {
            let gauges = ByService::default();
            registry.register(name, help, Family::clone(&gauges));
            gauges
        };
        ServiceGauges {
            wait_ms: by_service(
                "predicted_wait_ms",
                "Predicted wait of a new online request for a slot",
            ),
            completions_per_s: by_service(
                "completions_per_second",
                "Completions that free a slot for this gateway while all slots are taken",
            ),
            owed_items: by_service(
                "owed_items",
                "Unfinished batch items, over all gateways whose figures are known",
            ),
            owed_slot_s: by_service("owed_slot_seconds", "Slot time that the owed items need"),
            owed_done_s: by_service(
                "owed_done_seconds",
                "Predicted time until all owed items are done",
            ),
        }
    }

    /// Replaces the values of all services.
    pub fn replace(&self, predictions: &[ServicePrediction]) {
        let all = [
            &self.wait_ms,
            &self.completions_per_s,
            &self.owed_items,
            &self.owed_slot_s,
            &self.owed_done_s,
        ];
        all.into_iter().for_each(Family::clear);
        let seconds = |ms: Option<u64>| ms.map(|it| it as f64 / 1_000.0);
        for it in predictions {
            set(&self.wait_ms, it, it.wait_ms);
            set(&self.completions_per_s, it, it.completions_per_s);
            set(&self.owed_items, it, Some(it.owed_items as f64));
            set(&self.owed_slot_s, it, seconds(it.owed_ms));
            set(&self.owed_done_s, it, seconds(it.owed_done_ms));
        }
    }
}

fn set(gauges: &ByService, prediction: &ServicePrediction, value: Option<f64>) {
    if let Some(value) = value {
        let label = ServiceLabel { service: prediction.service.to_string() };
        gauges.get_or_create(&label).set(value);
    }
}

//! Injects faults, and lets gateways discover which targets are up.

use samphiredoor_core::placement::Input;

use super::{Event, Simulation};
use crate::emulate::scenario::FaultKind;

impl Simulation<'_> {
    pub(super) fn handle_fault(&mut self, number: usize, begins: bool) {
        let scenario = self.scenario;
        match &scenario.faults[number].what {
            FaultKind::TargetsDown(them) => {
                for target in them {
                    match begins {
                        true => self.stop_target(*target),
                        false => self.start_target(*target),
                    }
                }
                let known_us = self.after_ms(scenario.targets.discovery_ms);
                self.events.push(known_us, Event::Discovery);
            }
            FaultKind::GatewaysDown(them) => {
                for gateway in them {
                    match begins {
                        true => self.stop_gateway(*gateway),
                        false => self.restart_gateway(*gateway),
                    }
                }
            }
            FaultKind::MessagesLateMs(ms) => {
                self.network.extra_delay_ms = if begins { *ms } else { 0.0 }
            }
            FaultKind::MessagesLostPart(part) => {
                self.network.lost_part = if begins { *part } else { 0.0 };
            }
        }
    }

    pub(super) fn update_targets(&mut self) {
        for gateway in 0..self.gateways.len() {
            if self.gateways[gateway].is_up() {
                let entries = self.entries(gateway);
                self.input(gateway, Input::Targets(entries));
            }
        }
    }

    fn stop_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].stop();
        for request in 0..self.states.len() {
            if self.states[request].gateway == gateway {
                self.handle_gateway_death(request);
            }
        }
    }
}

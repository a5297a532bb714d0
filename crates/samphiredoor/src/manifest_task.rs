//! Keeps the manifest in force up to date.

use std::{rc::Rc, sync::Arc, time::Duration};

use samphiredoor_core::{
    manifest::Manifest,
    store::{Kind, ObjectKey, StoreAnswer, StoreOp, Stored},
};
use samphiredoor_schema::objects::ManifestRecord;

use crate::process::Door;

const POLL: Duration = Duration::from_millis(500);

/// Name of the one manifest object.
pub const MANIFEST_NAME: &str = "current";

/// Key of the one manifest object.
pub fn manifest_key() -> ObjectKey {
    ObjectKey::new(Kind::Manifest, MANIFEST_NAME)
}

/// Reads the manifest again and again, and puts higher revisions in force.
pub async fn run(door: Rc<Door>) {
    loop {
        if let StoreAnswer::Object(stored) =
            door.store.call(StoreOp::Get { key: manifest_key() }).await
        {
            apply(&door, &stored);
        }
        compio::time::sleep(POLL).await;
    }
}

/// Puts a stored manifest in force if its revision is above the one in force.
pub fn apply(door: &Door, stored: &Stored) {
    match read(stored) {
        Ok(manifest) if manifest.revision > door.revision.get() => {
            log::info!("manifest: revision {} is in force", manifest.revision);
            door.revision.set(manifest.revision);
            let manifest = Arc::new(manifest);
            door.manifest.replace(Arc::clone(&manifest));
            door.dispatch.apply(manifest);
        }
        Ok(_) => {}
        Err(err) => log::error!("manifest: the stored one cannot be used: {err:#}"),
    }
}

fn read(stored: &Stored) -> anyhow::Result<Manifest> {
    let record: ManifestRecord = serde_json::from_slice(&stored.value)?;
    let declared = serde_json::from_value(record.manifest)?;
    Ok(Manifest::new(record.revision, &declared)?)
}

//! The stand-ins as real servers on loopback: a state service, a cloud, and
//! workers that report and run tasks. With three controllers this is a whole
//! site on one computer; README walks through it.

use std::path::Path;

use copperfield_simulation::cluster::Site;
use copperfield_simulation::loopback::{Loopback, fixed_address};

/// Users' uploads are not part of this example.
const EVERY_TASK_RUNS_S: f64 = 5.0;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let folder = Path::new("target/site");
    let site = Loopback::new(Site::default(), |what, i| {
        fixed_address(match what {
            "state" => 17379,
            "cloud" => 17443,
            "public" => 17080 + i as u16,
            _ => 17180 + i as u16,
        })
    });
    site.fakes().unknown_job_runtime_s = Some(EVERY_TASK_RUNS_S);
    let hcl = "operators {\n  key = \"key-of-the-example\"\n}\n";
    site.write_settings(folder, Some(hcl))?;
    println!(
        "state service on {}, cloud on {}; settings in {}",
        site.state_address,
        site.cloud_address,
        folder.display()
    );
    site.run().await
}

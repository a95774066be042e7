//! Serves the fakes of the simulation crate on loopback: a state service, a cloud, and workers that
//! send heartbeats and run tasks. With three controllers they form a complete site on one computer.
//! The README describes how to run it.

use std::path::Path;

use copperfield_simulation::cluster::Site;
use copperfield_simulation::loopback::{Loopback, fixed_address};

/// The run time of every task. Users submit their jobs directly to the controllers, so the run
/// times of the jobs are not known here.
const TASK_RUNTIME_S: f64 = 5.0;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let folder = Path::new("target/site");
    let site = Loopback::new(Site::default(), |purpose, i| {
        fixed_address(match purpose {
            "state" => 17379,
            "cloud" => 17443,
            "public" => 17080 + i as u16,
            _ => 17180 + i as u16,
        })
    });
    site.fakes().unknown_job_runtime_s = Some(TASK_RUNTIME_S);
    let operator_settings = "operators {\n  key = \"key-of-the-example\"\n}\n";
    site.write_settings(folder, Some(operator_settings))?;
    println!(
        "state service on {}, cloud on {}; settings in {}",
        site.state_address,
        site.cloud_address,
        folder.display()
    );
    site.run().await
}

//! Measures the time of single calls of the HTTP client against the stand-in service on loopback.
//! Each call opens a connection of its own.

use std::time::{Duration, Instant};

use bytes::Bytes;
use skylarkpulley_standins::TableService;
use skylarkpulley_store::{HttpSettings, HttpStore, Store, StoreError, WriteClass};

const CALLS: usize = 2_000;
const CLIENTS: usize = 16;

/// Size of the row `tables` with 310 teams.
const LARGE: usize = 75 * 1024;

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let service = TableService::start(([127, 0, 0, 1], 0).into()).await?;
    let store = HttpStore::new(&service.url(), HttpSettings::default())?;
    let mut version = store.put("small", 0, Bytes::from(vec![b'x'; 256]), WriteClass::Jobs).await?;
    store.put("large", 0, Bytes::from(vec![b'x'; LARGE]), WriteClass::Tables).await?;

    for key in ["small", "large"] {
        let mut times = Vec::with_capacity(CALLS);
        for _ in 0..CALLS {
            let begin = Instant::now();
            store.get(key).await?;
            times.push(begin.elapsed());
        }
        print(&format!("get {key}"), &mut times);
    }
    let mut times = Vec::with_capacity(CALLS);
    for _ in 0..CALLS {
        let begin = Instant::now();
        let value = Bytes::from(vec![b'x'; 256]);
        version = store.put("small", version, value, WriteClass::Jobs).await?;
        times.push(begin.elapsed());
    }
    print("put small", &mut times);

    let begin = Instant::now();
    let clients: Vec<_> = (0..CLIENTS).map(|_| tokio::spawn(read(store.clone()))).collect();
    for client in clients {
        client.await??;
    }
    let rate = (CLIENTS * CALLS) as f64 / begin.elapsed().as_secs_f64();
    println!("get small, {CLIENTS} clients: {rate:.0}/s");
    Ok(())
}

async fn read(store: HttpStore) -> Result<(), StoreError> {
    for _ in 0..CALLS {
        store.get("small").await?;
    }
    Ok(())
}

fn print(name: &str, times: &mut [Duration]) {
    times.sort_unstable();
    let (p50, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
    println!("{name}: p50 {p50:?}, p99 {p99:?}");
}

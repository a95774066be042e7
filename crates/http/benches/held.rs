//! Measures the heap bytes of a connection with a counting allocator: `cargo bench -p
//! copperfield-http`. The memory of sockets belongs to the system and is not counted.

use std::alloc::{GlobalAlloc, Layout, System};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicIsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use copperfield_http::{ClientClass, MemoryBudget, Pool, PoolConfig, ServerConfig, serve};
use http::{Method, Response};

struct CountingAllocator;

static ALLOCATED: AtomicIsize = AtomicIsize::new(0);

// SAFETY: every call is passed unchanged to the system's allocator. Only the sizes are counted.
#[expect(
    unsafe_code,
    reason = "a counting allocator must implement the unsafe trait GlobalAlloc"
)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const CONNECTIONS: usize = 1000;

/// Returns the bytes of each connection that were allocated beyond `baseline`.
fn bytes_per_connection(baseline: isize) -> isize {
    // Wait until the server has freed the buffers of the last requests. It frees a buffer only
    // after the client may already have read the response.
    std::thread::sleep(Duration::from_millis(200));
    (ALLOCATED.load(Ordering::Relaxed) - baseline) / CONNECTIONS as isize
}

fn send_request(stream: &mut TcpStream, body: usize, buffer: &mut [u8]) {
    let head = format!("POST /hello HTTP/1.1\r\ncontent-length: {body}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(&buffer[..body]).expect("sent");
    assert!(stream.read(buffer).expect("answered") > 0);
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let config = ServerConfig {
        max_connections: 4 * CONNECTIONS,
        idle_timeout: Duration::from_secs(60),
        request_timeout: Duration::from_secs(10),
        max_body: 64 * 1024,
        reserved_fraction: 4,
        memory_budget: MemoryBudget::new(64 << 20),
        client_class: |_| ClientClass::Worker,
        error_response: |_, _| Response::new(Bytes::new()),
    };
    let port = runtime.block_on(async {
        let any_address = (Ipv4Addr::UNSPECIFIED, 0);
        let listener = tokio::net::TcpListener::bind(any_address)
            .await
            .expect("a port");
        let port = listener.local_addr().expect("bound").port();
        let handler = |_| async { Response::new(Bytes::from_static(b"{}")) };
        tokio::spawn(serve(listener, config, handler));
        port
    });
    let mut buffer = vec![b'x'; 64 * 1024];
    let mut streams = Vec::with_capacity(CONNECTIONS);
    let baseline = ALLOCATED.load(Ordering::Relaxed);
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect((Ipv4Addr::LOCALHOST, port)).expect("accepted");
        streams.push(stream);
    }
    println!(
        "server, a connection that has sent nothing: {} bytes",
        bytes_per_connection(baseline)
    );
    for body in [100, 20_000, 64 * 1024] {
        for stream in &mut streams {
            send_request(stream, body, &mut buffer);
        }
        println!(
            "server, idle after a body of {body} bytes: {} bytes",
            bytes_per_connection(baseline)
        );
    }
    drop(streams);
    println!(
        "server, after they have closed: {} bytes each",
        bytes_per_connection(baseline)
    );

    let pool = Pool::new(PoolConfig {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(60),
        max_idle_per_address: 4,
        max_body: 1 << 20,
    });
    let baseline = ALLOCATED.load(Ordering::Relaxed);
    runtime.block_on(async {
        for i in 0..CONNECTIONS {
            let host = Ipv4Addr::new(127, 0, (i / 250) as u8, (i % 250 + 1) as u8);
            let to = SocketAddr::from((host, port));
            let reply = pool.call(&Method::POST, to, "/orders", b"{}").await;
            assert_eq!(reply.expect("answered").status, 200);
        }
    });
    println!(
        "both sides, idle in the pool: {} bytes",
        bytes_per_connection(baseline)
    );
}

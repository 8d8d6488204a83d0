use crate::prelude::*;

declare_settings! {
    /// A process's place in the fleet, read from its settings file and its flags.
    pub struct DaemonSettings {
        /// The process's own name, unlike that of any other process.
        node_name: String = "", check(Name);
        /// The cluster it belongs to; processes of other clusters are not heard.
        cluster: String = "firlock", check(Name);
        /// Where it answers callers and operators over HTTP.
        listen_http: SocketAddr = "127.0.0.1:7000", unit "ip:port";
        /// Where it answers the other processes.
        listen_internal: SocketAddr = "127.0.0.1:7001", unit "ip:port";
        /// Where callers and operators reach it, when that isn't where it listens.
        advertise_http: Option<SocketAddr> = null, unit "ip:port";
        /// Where the other processes reach it, when that isn't where it listens.
        advertise_internal: Option<SocketAddr> = null, unit "ip:port";
        /// The zone it stands in.
        zone: String = "z1", check(Name);
        /// The region its zone is in.
        region: String = "local", check(Name);
        /// The one folder for its files; none for a process that keeps nothing.
        data_folder: Option<String> = null, unit "path";
        /// Addresses of other processes to ask first, three of them as a rule.
        seeds: Vec<SocketAddr> = [], check(Most(16)), unit "ip:port";
        /// How log lines are written.
        log_format: String = "text", check(OneOf(&["text", "json"]));
        /// The least level of log lines written.
        log_level: String = "info", check(OneOf(&["error", "warn", "info", "debug", "trace"]));
        /// Memory for the cache of the store on the disk.
        disk_cache_kb: u64 = 2048, check(Integers(64, 16777216)), unit "KiB";
        /// How long a follower waits for the leader before it asks for votes; the other times of the election are ratios of it.
        election_timeout_ms: u64 = 1000, check(Integers(100, 10000)), unit "ms";
        /// How long a gateway may be silent before its share of the workers goes to others.
        gateway_silence_ms: u64 = 3000, check(Integers(100, 60000)), unit "ms";
        /// How often a gateway renews its hold on its workers.
        hold_interval_ms: u64 = 1000, check(Integers(50, 30000)), unit "ms";
        /// Threads that serve requests; 0 for two.
        worker_threads: u64 = 0, check(Integers(0, 256)), unit "threads";
        /// Addresses of the schedulers that found the cluster, the same list on each; empty to join one that runs.
        founders: Vec<SocketAddr> = [], check(Most(9)), unit "ip:port";
        /// How many schedulers are to vote; 0 for as many as found the cluster.
        voters: u64 = 0, check(Integers(0, 9)), unit "members";
    }
}

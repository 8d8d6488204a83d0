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
        /// The port at which the other processes hear each other, where seeds and founders name another port of them; 0 for
        /// the ports as they are named.
        peer_port: u64 = 0, check(Integers(0, 65535)), unit "port";
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
        /// The longest lease that workers take; 0 where workers take none.
        lease_most_ms: u64 = 0, check(Integers(0, 600000)), unit "ms";
        /// How long a read of a job that isn't over waits at a gateway for its end; 0: it is answered at once.
        read_wait_ms: u64 = 0, check(Integers(0, 2000)), unit "ms";
        /// How long members of a gang wait for each other at their workers.
        gang_wait_ms: u64 = 8000, check(Integers(100, 600000)), unit "ms";
        /// How long a silent member of the log is waited for once a spare is at hand; 0 for a ratio of the election timeout.
        member_silence_s: f64 = 0.0, check(Numbers(0.0, 600.0)), unit "s";
        /// How long a process has to end after it was told to.
        grace_s: f64 = 6.0, check(Numbers(0.0, 600.0)), unit "s";
        /// Where a gateway answers whether it is ready, when apart from its API.
        listen_ready: Option<SocketAddr> = null, unit "ip:port";
        /// The fleet's zones with their regions, each as `zone=region`.
        zones: Vec<String> = [], check(Most(256));
        /// How long a job that is over can be asked for, where the operators' tree doesn't say.
        job_retention_s: u64 = 86400, check(Integers(0, 31536000)), unit "s";
        /// Upper bound of the first placement class; the others are 10, 100 and 1,000 times as long.
        first_class_ms: u64 = 60000, check(Integers(100, 3600000)), unit "ms";
        /// Placement policies that are switched off, by name; for experiments.
        policies_off: Vec<String> = [], check(Names(32));
        /// How many schedulers are to vote; 0 for as many as found the cluster.
        voters: u64 = 0, check(Integers(0, 9)), unit "members";
        /// Up to how many schedulers vote once spares are at hand; 0 for never more than are to vote.
        most_voters: u64 = 0, check(Integers(0, 9)), unit "members";
    }
}

impl DaemonSettings {
    /// Where the seeds hear other processes.
    ///
    /// ```
    /// use declared_settings::prelude::*;
    /// let s = DaemonSettings::from_json(&json!({"node_name": "s1", "seeds": ["10.0.0.1:80"], "peer_port": 7720})).unwrap();
    /// assert_eq!(s.seed_addresses()[0].to_string(), "10.0.0.1:7720");
    /// ```
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.peers(&self.seeds)
    }

    /// Where the founders hear other processes.
    pub fn founder_addresses(&self) -> Vec<SocketAddr> {
        self.peers(&self.founders)
    }

    /// The same machines at the port of their processes.
    fn peers(&self, named: &[SocketAddr]) -> Vec<SocketAddr> {
        let at = |a: &SocketAddr| if self.peer_port == 0 { *a } else { SocketAddr::new(a.ip(), self.peer_port as u16) };
        named.iter().map(at).collect()
    }
}

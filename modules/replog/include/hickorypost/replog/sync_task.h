#pragma once

#include "hickorypost/replog/replica_store.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace hickorypost::replog {

/// The task that owns a replica's disk: takes batches by message, writes all that wait, syncs once
/// (group commit), and reports the newest ticket that lasts.
class sync_task {
public:
    /// Both hooks run on the task's own thread. After `on_error` nothing more is written: what the
    /// disk holds is unknown until the process restarts and reads it back.
    using done_fn = std::function<void(std::uint64_t ticket)>;
    using error_fn = std::function<void(const storage::storage_error&)>;

    sync_task(std::unique_ptr<replica_store> store, done_fn on_done, error_fn on_error);
    ~sync_task();
    sync_task(const sync_task&) = delete;
    sync_task& operator=(const sync_task&) = delete;

    void submit(persist_batch batch);

private:
    void run(const std::stop_token& stop);
    result<void> write_all(const std::vector<persist_batch>& batches);

    std::unique_ptr<replica_store> store_;
    done_fn on_done_;
    error_fn on_error_;
    std::mutex mutex_;
    std::condition_variable_any wake_;
    std::vector<persist_batch> waiting_;
    std::jthread thread_; ///< last: joins before what it uses goes
};

} // namespace hickorypost::replog

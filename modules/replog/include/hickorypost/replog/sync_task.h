#pragma once

#include "hickorypost/replog/replica_store.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace hickorypost::replog {

/// Owns a replica's store and writes to it on its own thread. Writes all queued batches, syncs once
/// for all of them (group commit), and reports the ticket of the last durable batch.
class sync_task {
public:
    /// Both callbacks run on the task's thread. After `on_error` nothing more is written: the
    /// contents of the disk are unknown until the process restarts and reads them back.
    using done_fn = std::function<void(std::uint64_t ticket)>;
    using error_fn = std::function<void(const storage::storage_error&)>;

    sync_task(std::unique_ptr<replica_store> store, done_fn on_done, error_fn on_error);
    ~sync_task();
    sync_task(const sync_task&) = delete;
    sync_task& operator=(const sync_task&) = delete;

    /// Queues a batch for writing. May be called from any thread.
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
    std::jthread thread_; ///< last member: joined before the members that it uses are destroyed
};

} // namespace hickorypost::replog

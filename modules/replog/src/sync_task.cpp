#include "hickorypost/replog/sync_task.h"

#include <utility>

namespace hickorypost::replog {

sync_task::sync_task(std::unique_ptr<replica_store> store, done_fn on_done, error_fn on_error)
    : store_{std::move(store)}, on_done_{std::move(on_done)}, on_error_{std::move(on_error)},
      thread_{[this](const std::stop_token& stop) { run(stop); }}
{
}

sync_task::~sync_task()
{
    thread_.request_stop();
    wake_.notify_all();
}

void sync_task::submit(persist_batch batch)
{
    {
        const std::scoped_lock lock{mutex_};
        waiting_.push_back(std::move(batch));
    }
    wake_.notify_one();
}

result<void> sync_task::write_all(const std::vector<persist_batch>& batches)
{
    for (const auto& it : batches) {
        BOOST_LEAF_CHECK(store_->append(it));
    }
    return store_->sync();
}

void sync_task::run(const std::stop_token& stop)
{
    bool usable = true;
    while (usable) {
        std::vector<persist_batch> batches;
        {
            std::unique_lock lock{mutex_};
            if (!wake_.wait(lock, stop, [this] { return !waiting_.empty(); })) {
                return;
            }
            batches = std::exchange(waiting_, {});
        }
        usable = value_or_handle<storage::storage_error>(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(write_all(batches));
                on_done_(batches.back().ticket);
                return true;
            },
            [&](const storage::storage_error& error) {
                on_error_(error);
                return false;
            });
    }
}

} // namespace hickorypost::replog

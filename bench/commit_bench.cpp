/// Raw append and sync of this disk, and commits of usage facts through a lone replica's journal on
/// it, in one run: bench_commit FOLDER

#include "hickorypost/ledger/ledger_state.h"
#include "hickorypost/replog/sync_task.h"
#include "hickorypost/storage/posix_file_system.h"
#include "hickorypost/wire/codec.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <unistd.h>
#include <vector>

namespace {

using namespace hickorypost;
using clock_type = std::chrono::steady_clock;

double since_us(clock_type::time_point from)
{
    return std::chrono::duration<double, std::micro>(clock_type::now() - from).count();
}

double median(std::vector<double> values)
{
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2), values.end());
    return values[values.size() / 2];
}

result<double> raw_sync_us(storage::file_system& fs)
{
    constexpr int rounds = 2000;
    BOOST_LEAF_AUTO(file, fs.open_append("raw"));
    const std::string bytes(512, 'x');
    std::vector<double> took;
    for (int n = 0; n < rounds; ++n) {
        const auto began = clock_type::now();
        BOOST_LEAF_CHECK(file->append(bytes));
        BOOST_LEAF_CHECK(file->sync());
        took.push_back(since_us(began));
    }
    return median(std::move(took));
}

std::string fact(std::uint64_t n)
{
    ledger::ledger_batch batch;
    ledger::usage_fact it;
    it.started_wall_ms = 1'000'000;
    it.key = {"account", "request-" + std::to_string(n)};
    it.lines.push_back({{"skills", "1"}, "agent", true, {100, 0, 50}, 42, 5, 80});
    batch.commands.push_back({std::nullopt, std::nullopt, std::move(it)});
    return wire::encode(batch);
}

/// Facts written one batch each, with `in_flight` submitted before the oldest is durable.
result<void> journal_facts(storage::file_system& fs, std::size_t in_flight, double raw)
{
    constexpr std::uint64_t facts = 20'000;
    const std::string prefix = "b" + std::to_string(in_flight) + "-";
    BOOST_LEAF_AUTO(store, replog::replica_store::open(fs, prefix, "n", seeded_random_fn(1)));
    std::atomic<std::uint64_t> durable{0};
    std::vector<double> latency;
    const auto began = clock_type::now();
    {
        replog::sync_task disk{std::move(store),
                               [&](std::uint64_t ticket) {
                                   durable = ticket;
                                   durable.notify_all();
                               },
                               [](const storage::storage_error&) { std::abort(); }};
        const std::uint64_t rounds = in_flight == 1 ? facts / 10 : facts;
        for (std::uint64_t n = 1; n <= rounds; ++n) {
            while (n > durable + in_flight) {
                durable.wait(durable.load());
            }
            const auto asked = clock_type::now();
            replog::persist_batch batch;
            batch.ticket = n;
            batch.entries.push_back({n, 1, replog::entry_kind::command, 0, fact(n)});
            disk.submit(std::move(batch));
            if (in_flight == 1) {
                while (durable < n) {
                    durable.wait(n - 1);
                }
                latency.push_back(since_us(asked));
            }
        }
        while (durable < rounds) {
            durable.wait(durable.load());
        }
        const double seconds = since_us(began) / 1e6;
        std::printf("%4zu in flight: %8.0f facts/s", in_flight,
                    static_cast<double>(rounds) / seconds);
        if (!latency.empty()) {
            const double one = median(latency);
            std::printf(", median %.0f us = %.2f x raw sync", one, one / raw);
        }
        std::printf("\n");
    }
    return {};
}

double resident_bytes()
{
    long pages = 0;
    long resident = 0;
    if (std::FILE* file = std::fopen("/proc/self/statm", "re"); file != nullptr) {
        if (std::fscanf(file, "%ld %ld", &pages, &resident) != 2) {
            resident = 0;
        }
        std::fclose(file);
    }
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// State and recovery per fact of the ledger itself.
void ledger_memory()
{
    constexpr std::uint64_t facts = 200'000;
    ledger::ledger_state state{{}};
    const double before = resident_bytes();
    auto began = clock_type::now();
    for (std::uint64_t n = 0; n < facts; ++n) {
        state.apply(1'000'000, *wire::try_decode<ledger::ledger_batch>(fact(n)));
    }
    const double apply = since_us(began) / static_cast<double>(facts);
    std::printf("ledger: %.0f bytes of memory a fact in the window\n",
                (resident_bytes() - before) / static_cast<double>(facts));
    const std::string saved = state.save();
    began = clock_type::now();
    ledger::ledger_state again{{}};
    again.load(saved);
    std::printf("ledger: %.2f us to apply a fact, snapshot %.0f bytes a fact in the window, "
                "loaded at %.2f us a fact\n",
                apply, static_cast<double>(saved.size()) / static_cast<double>(facts),
                since_us(began) / static_cast<double>(facts));
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::fprintf(stderr, "bench_commit FOLDER (new, on the disk to be measured)\n");
        return 2;
    }
    return value_or_handle<storage::storage_error>(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(fs, storage::posix_file_system::open(argv[1]));
            BOOST_LEAF_AUTO(raw, raw_sync_us(*fs));
            std::printf("raw 512-byte append and sync: median %.0f us\n", raw);
            for (const std::size_t in_flight :
                 {std::size_t{1}, std::size_t{16}, std::size_t{256}}) {
                BOOST_LEAF_CHECK(journal_facts(*fs, in_flight, raw));
            }
            ledger_memory();
            return 0;
        },
        [](const storage::storage_error& error) {
            std::fprintf(stderr, "%s\n", storage::describe(error).c_str());
            return 1;
        });
}

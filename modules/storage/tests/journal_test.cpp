#include "hickorypost/storage/journal.h"
#include "hickorypost/storage/posix_file_system.h"
#include "virtual_disk.h"

#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

namespace {

using namespace hickorypost;
using storage::journal;
using storage::storage_error;
using storage::storage_fault;
using testing::virtual_disk;

constexpr std::size_t small_segment = 300;

struct contents {
    std::optional<storage_fault> fault;
    std::vector<std::string> records; ///< without prologues
};

storage::journal_options options()
{
    return {"log-", small_segment};
}

/// Opens the journal and runs `work` on it; gives what was read and the fault met, if any.
contents with_journal(virtual_disk& disk, const std::function<result<void>(journal&)>& work)
{
    contents out;
    out.fault = value_or_handle<storage_error>(
        [&]() -> result<std::optional<storage_fault>> {
            BOOST_LEAF_AUTO(log, journal::open(
                                     disk, options(), [] { return std::string{"prologue"}; },
                                     [&](std::uint64_t tag, std::string_view payload) {
                                         if (tag > 0) {
                                             out.records.emplace_back(payload);
                                         }
                                     }));
            BOOST_LEAF_CHECK(work(log));
            return std::optional<storage_fault>{};
        },
        [](const storage_error& error) { return std::optional{error.fault}; });
    return out;
}

contents read_back(virtual_disk& disk)
{
    return with_journal(disk, [](journal&) -> result<void> { return {}; });
}

std::string record_named(std::size_t n)
{
    return "record " + std::to_string(n) + std::string(n % 40, '.');
}

constexpr std::size_t workload_records = 24;

/// Appends records, syncing every third; `synced` follows what was acknowledged.
result<void> workload(journal& log, std::size_t& synced)
{
    for (std::size_t n = 1; n <= workload_records; ++n) {
        BOOST_LEAF_CHECK(log.append(n, record_named(n)));
        if (n % 3 == 0) {
            BOOST_LEAF_CHECK(log.sync());
            synced = n;
        }
    }
    return {};
}

constexpr std::array injected_faults{storage_fault::io, storage_fault::disk_full,
                                     storage_fault::sync_failed};
constexpr std::size_t workload_operations = 120; // more than the workload makes

} // namespace

BOOST_AUTO_TEST_SUITE(journal_faults)

// A host loses power, or its disk fails or fills up, at any single operation. What had been
// acknowledged before must be read back in order at the next start, and nothing else but a prefix
// of what was being written; a record that was never written must not appear.
BOOST_DATA_TEST_CASE(acknowledged_records_survive_a_crash_at_every_operation,
                     boost::unit_test::data::xrange(workload_operations) *
                         boost::unit_test::data::xrange(injected_faults.size()),
                     operation, nth_fault)
{
    const storage_fault fault = injected_faults[nth_fault];
    virtual_disk disk{operation + 1};
    disk.fail_from(operation, fault);
    std::size_t synced = 0;
    with_journal(disk, [&](journal& log) { return workload(log, synced); });
    disk.crash();
    const auto after = read_back(disk);
    BOOST_TEST(!after.fault.has_value());
    BOOST_TEST(after.records.size() >= synced);
    for (std::size_t n = 0; n < after.records.size(); ++n) {
        BOOST_TEST(after.records[n] == record_named(n + 1));
    }
}

// A sync fails once and the kernel drops the dirty pages; a second sync would then "succeed" over
// data that is not there. The journal must not try again.
BOOST_AUTO_TEST_CASE(a_failed_sync_is_never_retried)
{
    virtual_disk disk;
    std::vector<bool> good;
    with_journal(disk, [&](journal& log) -> result<void> {
        BOOST_LEAF_CHECK(log.append(1, "first"));
        disk.fail_from(disk.operations(), storage_fault::sync_failed);
        good.push_back(leaf::try_handle_all(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(log.sync());
                return true;
            },
            [] { return false; }));
        disk.heal();
        for (int n = 0; n < 2; ++n) {
            good.push_back(leaf::try_handle_all(
                [&]() -> result<bool> {
                    BOOST_LEAF_CHECK(n == 0 ? log.sync() : log.append(2, "second"));
                    return true;
                },
                [] { return false; }));
        }
        return {};
    });
    BOOST_TEST((good == std::vector<bool>{false, false, false}));
}

// A byte goes bad in the middle of what was synced. Cutting there would silently forget
// acknowledged records; the journal refuses to open instead.
BOOST_AUTO_TEST_CASE(damage_before_synced_records_is_refused)
{
    virtual_disk disk;
    std::size_t synced = 0;
    with_journal(disk, [&](journal& log) { return workload(log, synced); });
    const std::string first = "log-00000000000000000001.seg";
    disk.damage(first, disk.size_of(first) / 2);
    const auto after = read_back(disk);
    BOOST_REQUIRE(after.fault.has_value());
    BOOST_TEST((*after.fault == storage_fault::damaged));
}

BOOST_AUTO_TEST_CASE(a_missing_segment_is_refused)
{
    virtual_disk disk;
    std::size_t synced = 0;
    with_journal(disk, [&](journal& log) { return workload(log, synced); });
    BOOST_REQUIRE(disk.list().value().size() > 2);
    BOOST_REQUIRE(disk.remove(disk.list().value()[1]));
    BOOST_TEST((read_back(disk).fault == std::optional{storage_fault::damaged}));
}

BOOST_AUTO_TEST_CASE(dropped_segments_take_only_their_records)
{
    virtual_disk disk;
    std::size_t synced = 0;
    with_journal(disk, [&](journal& log) -> result<void> {
        BOOST_LEAF_CHECK(workload(log, synced));
        return log.drop_through(workload_records / 2);
    });
    const auto after = read_back(disk);
    BOOST_TEST(!after.fault.has_value());
    BOOST_REQUIRE(!after.records.empty());
    BOOST_TEST(after.records.back() == record_named(workload_records));
    BOOST_TEST(after.records.size() >= workload_records / 2);
    BOOST_TEST(after.records.size() < workload_records);
}

// The machine stops at any operation while a file is being replaced: a reader finds the old
// content or the new one, whole.
BOOST_DATA_TEST_CASE(a_replaced_file_is_old_or_new, boost::unit_test::data::xrange(8), operation)
{
    virtual_disk disk{static_cast<std::uint64_t>(operation) + 7};
    BOOST_REQUIRE(storage::replace_file(disk, "file", "old content"));
    disk.fail_from(disk.operations() + static_cast<std::size_t>(operation), storage_fault::io);
    const bool done = leaf::try_handle_all(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(storage::replace_file(disk, "file", "new content"));
            return true;
        },
        [] { return false; });
    disk.crash();
    const std::string found = disk.read_file("file").value();
    BOOST_TEST((found == "new content" || (!done && found == "old content")));
}

// A second process is started on a data folder that is in use, by a mistake or a hasty restart.
BOOST_AUTO_TEST_CASE(a_data_folder_serves_one_process)
{
    const auto folder =
        std::filesystem::temp_directory_path() / ("hickorypost-lock-" + std::to_string(::getpid()));
    const auto fault_of_open = [&] {
        return value_or_handle<storage_error>(
            [&]() -> result<std::optional<storage_fault>> {
                BOOST_LEAF_CHECK(storage::posix_file_system::open(folder.string()));
                return std::optional<storage_fault>{};
            },
            [](const storage_error& error) { return std::optional{error.fault}; });
    };
    {
        const auto first = storage::posix_file_system::open(folder.string());
        BOOST_TEST(first.has_value());
        BOOST_TEST((fault_of_open() == std::optional{storage_fault::locked}));
    }
    BOOST_TEST(!fault_of_open().has_value());
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

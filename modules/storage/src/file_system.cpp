#include "hickorypost/storage/file_system.h"

namespace hickorypost::storage {

namespace {

std::string_view describe(storage_fault fault) noexcept
{
    switch (fault) {
    case storage_fault::io:
        return "input/output error";
    case storage_fault::disk_full:
        return "disk full";
    case storage_fault::damaged:
        return "damaged data";
    case storage_fault::locked:
        return "data folder is in use by another process";
    case storage_fault::sync_failed:
        return "sync failed";
    }
    return "unknown fault";
}

} // namespace

std::string describe(const storage_error& error)
{
    std::string out = error.path;
    out.append(": ").append(describe(error.fault));
    if (!error.detail.empty()) {
        out.append(" (").append(error.detail).append(")");
    }
    return out;
}

result<void> replace_file(file_system& fs, std::string_view name, std::string_view bytes)
{
    const std::string beside = std::string{name} + ".new";
    // A crash may have left a half-written file of an earlier try; it must not be appended to.
    BOOST_LEAF_AUTO(names, fs.list());
    for (const auto& it : names) {
        if (it == beside) {
            BOOST_LEAF_CHECK(fs.remove(beside));
        }
    }
    BOOST_LEAF_AUTO(file, fs.open_append(beside));
    BOOST_LEAF_CHECK(file->append(bytes));
    BOOST_LEAF_CHECK(file->sync());
    file.reset();
    BOOST_LEAF_CHECK(fs.rename(beside, name));
    return fs.sync_folder();
}

} // namespace hickorypost::storage

/// \file
/// What the platform's table service, object store and VM list give and take.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace gypsumstep::platform {

/// A row of the table. Versions start at 1 and grow by one with each write.
struct table_row {
    std::string key;
    std::uint64_t version{0}; ///< 0: the row is absent
    nlohmann::json value;

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// A write that takes effect only on the version that it expects.
struct table_write {
    std::string key;
    std::uint64_t expected_version{0}; ///< 0: the row must be absent
    nlohmann::json value;

    friend bool operator==(const table_write&, const table_write&) = default;
};

/// What became of a conditional write that was answered.
struct write_outcome {
    bool applied{false};
    table_row current; ///< not applied: the row whose version differed

    friend bool operator==(const write_outcome&, const write_outcome&) = default;
};

/// Whether the platform means to keep a VM.
enum class vm_state { live, leaving };

/// An entry of the platform's lagging list of VMs.
struct vm_entry {
    std::string address; ///< IP number
    vm_state state{vm_state::live};

    friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

} // namespace gypsumstep::platform

/// \file
/// What the platform stand-in keeps: a versioned table, objects and a VM list.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::standin {

/// One row of the table. Version 0 stands for an absent row.
struct table_entry {
    std::uint64_t version{0};
    nlohmann::json value;

    friend bool operator==(const table_entry&, const table_entry&) = default;
};

/// A conditional write of one row.
struct table_operation {
    std::string key;
    std::uint64_t expected_version{0};
    nlohmann::json value;

    friend bool operator==(const table_operation&, const table_operation&) = default;
};

/// What became of a transaction.
struct table_outcome {
    std::string conflict_key; ///< first row that had another version; empty if applied
    table_entry found;        ///< the row of conflict_key

    [[nodiscard]] bool applied() const { return conflict_key.empty(); }

    friend bool operator==(const table_outcome&, const table_outcome&) = default;
};

/// The state behind the platform stand-in.
class platform_store {
public:
    /// The row of \p key; version 0 if there is none.
    [[nodiscard]] table_entry row(const std::string& key) const;

    /// Applies all operations if every row has its expected version, else none.
    [[nodiscard]] table_outcome transact(const std::vector<table_operation>& operations);

    /// The object's bytes, or nothing.
    [[nodiscard]] std::optional<std::string> object(const std::string& name) const;

    /// Creates or replaces an object.
    void put_object(const std::string& name, std::string bytes);

private:
    std::map<std::string, table_entry> m_rows;
    std::map<std::string, std::string> m_objects;
};

} // namespace gypsumstep::standin

/// \file
/// Versions and patches of the configuration, and how the platform stores them.
///
/// The row head_key names the version in force. One transaction writes the head,
/// the change under history_key() and the patch's id under patch_key(), so that
/// the three never disagree. The whole document of a version is an object that is
/// stored before the transaction.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/base/ids.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace gypsumstep::config {

using json = nlohmann::json;

/// A shared, immutable document.
using document_ptr = std::shared_ptr<const json>;

/// The format of a patch.
enum class patch_kind {
    merge,      ///< JSON merge patch, RFC 7396
    operations, ///< JSON patch, RFC 6902
};

/// A change that an operator submits.
struct patch {
    std::string id;      ///< chosen by the submitter; see is_patch_id()
    config_version base; ///< version that the patch was written against; 0: none yet
    patch_kind kind{patch_kind::merge};
    json content;
    std::string author;
    std::string reason;
    std::uint64_t time_ms{0}; ///< submitter's wall clock since 1970; informational

    friend bool operator==(const patch&, const patch&) = default;
};

/// An accepted patch and the version that it made; its base is the previous version.
struct change_record {
    config_version version;
    patch change;

    friend bool operator==(const change_record&, const change_record&) = default;
};

/// Contents of the head row: the version in force.
struct head_record {
    config_version version;
    std::string object; ///< name of the object that holds the whole document
    std::string patch_id;
    std::string author;
    std::string reason;
    std::uint64_t time_ms{0};

    friend bool operator==(const head_record&, const head_record&) = default;
};

/// Key of the head row.
inline constexpr const char* head_key = "config/head";

/// Key of the row that holds the change that made \p version.
[[nodiscard]] std::string history_key(config_version version);

/// Key of the row that holds the version that a patch became.
[[nodiscard]] std::string patch_key(const std::string& patch_id);

/// Name of the object that holds the document after \p change is applied to its base.
[[nodiscard]] std::string object_name(const patch& change);

/// True if \p text has 1 to 64 characters of A-Z, a-z, 0-9, '-' and '_'.
[[nodiscard]] bool is_patch_id(const std::string& text);

[[nodiscard]] json to_json(const head_record& value);
[[nodiscard]] json to_json(const change_record& value);
/// Parses a row; invalid_argument if a field is missing or has the wrong type.
[[nodiscard]] result<head_record> parse_head(const json& row);
[[nodiscard]] result<change_record> parse_change(const json& row);

/// The head row after \p change is committed.
[[nodiscard]] head_record make_head(const change_record& change);

/// Applies \p change to a copy of \p document; invalid_argument if it does not apply.
[[nodiscard]] result<json> apply_patch(const json& document, const patch& change);

/// The RFC 6902 operations that turn \p from into \p to.
[[nodiscard]] json diff(const json& from, const json& to);

/// Makes a patch that restores the document \p target as a new version. It takes id,
/// base, author, reason and time from \p order; \p current is the document of
/// \p order.base.
[[nodiscard]] patch make_rollback(patch order, const json& current, const json& target);

} // namespace gypsumstep::config

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

/// A document that many holders share and none changes.
using document_ptr = std::shared_ptr<const json>;

/// In which form a patch is written.
enum class patch_kind {
    merge,      ///< RFC 7396
    operations, ///< RFC 6902
};

/// A change that an operator submits.
struct patch {
    std::string id;      ///< chosen by the submitter; see is_patch_id()
    config_version base; ///< the version that the operator looked at; 0: none yet
    patch_kind kind{patch_kind::merge};
    json content;
    std::string author;
    std::string reason;
    std::uint64_t time_ms{0}; ///< submitter's wall clock since 1970; for people only

    friend bool operator==(const patch&, const patch&) = default;
};

/// A patch that became a version; its base is the version before.
struct change_record {
    config_version version;
    patch change;

    friend bool operator==(const change_record&, const change_record&) = default;
};

/// What the head row says about the version in force.
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

/// Key of the row with the change that made \p version.
[[nodiscard]] std::string history_key(config_version version);

/// Key of the row that says which version a patch became.
[[nodiscard]] std::string patch_key(const std::string& patch_id);

/// Name of the object with the document that \p change makes of its base.
[[nodiscard]] std::string object_name(const patch& change);

/// True for 1 to 64 of A-Z, a-z, 0-9, '-' and '_'.
[[nodiscard]] bool is_patch_id(const std::string& text);

[[nodiscard]] json to_json(const head_record& value);
[[nodiscard]] json to_json(const change_record& value);
/// invalid_argument if the row has another shape.
[[nodiscard]] result<head_record> parse_head(const json& row);
[[nodiscard]] result<change_record> parse_change(const json& row);

/// The head row that \p change leads to.
[[nodiscard]] head_record make_head(const change_record& change);

/// The document that \p change makes of \p document; invalid_argument if it does not apply.
[[nodiscard]] result<json> apply_patch(const json& document, const patch& change);

/// The RFC 6902 operations that lead from one document to another.
[[nodiscard]] json diff(const json& from, const json& to);

/// Turns \p order into a patch that restores \p target as a new version after
/// \p order.base, whose document is \p current.
[[nodiscard]] patch make_rollback(patch order, const json& current, const json& target);

} // namespace gypsumstep::config

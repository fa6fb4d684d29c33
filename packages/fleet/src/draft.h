/// \file
/// A configuration as read, with names instead of ids and with source places for the checks.
#pragma once

#include "gypsumstep/document/object_reader.h"
#include "gypsumstep/fleet/document.h"

#include <map>
#include <string>

namespace gypsumstep::fleet::detail {

/// A server before ids are assigned.
struct server_draft {
    server values;
    std::string domain_name;
    source_place place;        ///< place of the server's key
    source_place domain_place; ///< place of the domain's name
    std::string path;
};

/// A group before ids are assigned.
struct group_draft {
    group values;
    std::vector<server_draft> servers;
    source_place place; ///< place of the group's key
    std::string path;
};

/// A document before ids are assigned, sorted by name.
struct document_draft {
    config_version version;
    std::map<std::string, domain> domains;
    std::map<std::string, group_draft> groups;
    std::array<rank_target, rank_count> ranks{};
    source_place ranks_place;
};

/// Names of the ranks in the order of the enumeration.
inline constexpr std::array<const char*, rank_count> rank_names{"urgent", "next", "last"};

/// Checks what spans several fields of the document and adds findings to \p problems.
void check(const document_draft& draft, findings& problems);

} // namespace gypsumstep::fleet::detail

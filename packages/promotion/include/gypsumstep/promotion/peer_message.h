/// \file
/// Messages with which daemons tell each other about the claims on promotions.
#pragma once

#include "gypsumstep/base/position.h"
#include "gypsumstep/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::promotion {

/// The newest claim on a group that the sender knows.
struct claim_notice {
    std::string service;
    std::uint64_t token{0};
    std::string target; ///< instance id of the only server that may lead; empty for none

    friend bool operator==(const claim_notice&, const claim_notice&) = default;
};

/// Confirms that the sender uses no server but the claim's target as the group's primary.
struct release_notice {
    std::string service;
    std::uint64_t token{0};
    std::string demoted; ///< server that told the sender that it takes no writes; may be empty
    std::optional<log_position> position; ///< newest log entry of the demoted server

    friend bool operator==(const release_notice&, const release_notice&) = default;
};

/// A question of one daemon to another, or the answer to it.
struct peer_message {
    std::string sender;
    std::uint64_t number{0}; ///< an answer has the number of its question
    bool is_answer{false};

    /// All claims that the asker knows. In an answer, those that are news to the asker.
    std::vector<claim_notice> claims;

    /// How long ago the store had no newer claims than the sender knows; empty if the sender has
    /// not learned of the store's claims yet. Answers only.
    std::optional<duration> age;
    std::vector<release_notice> releases; ///< answers only
    std::uint64_t store_era{0};           ///< newest that the sender knows; 0 if it knows none
    std::vector<std::string> guests; ///< answers only: recent askers that the sender has not listed

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

} // namespace gypsumstep::promotion

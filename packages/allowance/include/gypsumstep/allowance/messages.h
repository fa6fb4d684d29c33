/// \file
/// The messages between entry daemons and keepers, and between the daemons of a failure domain.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gypsumstep::allowance {

inline constexpr std::uint32_t thousandths_of_token = 1000;

/// The tokens of one account that an entry daemon asks for.
struct account_need {
    std::string account;
    std::uint32_t waiting{0}; ///< for operations that wait
    std::uint32_t ahead{0};   ///< for operations expected within the tokens' lifetime
    /// Thousandths of one token, in addition. With the parts that other keepers have of a token,
    /// they permit an operation of a small account.
    std::uint32_t thousandths{0};

    friend bool operator==(const account_need&, const account_need&) = default;
};

/// An entry daemon asks a keeper for tokens.
struct token_request {
    std::string sender;
    std::uint64_t number{0}; ///< chosen by the sender; the answer repeats it
    std::vector<account_need> needs;

    friend bool operator==(const token_request&, const token_request&) = default;
};

/// The tokens of one account that a keeper grants.
struct account_grant {
    std::uint32_t thousandths{0}; ///< of tokens; whole tokens unless thousandths were asked for
    duration retry_after{0};      ///< when to ask this keeper again; 0 if it has tokens left

    friend bool operator==(const account_grant&, const account_grant&) = default;
};

/// A keeper's answer to a request.
struct token_answer {
    std::uint64_t number{0};
    bool is_keeper{false};             ///< false if the sender holds no slot
    std::vector<account_grant> grants; ///< in the order of the request's needs

    friend bool operator==(const token_answer&, const token_answer&) = default;
};

/// A daemon that the sender of a message knows.
struct known_daemon {
    std::string name;
    std::uint32_t capacity{0}; ///< thousandths of a processor core

    friend bool operator==(const known_daemon&, const known_daemon&) = default;
};

/// A daemon tells the others of its failure domain that it runs.
struct presence {
    std::string sender;
    std::string domain;
    std::uint32_t capacity{0}; ///< thousandths of a processor core
    bool is_answer{false};     ///< not to be answered again
    /// In an answer: the daemons that rank first for a slot, before the receiver, as far as the
    /// sender knows.
    std::vector<known_daemon> higher{};

    friend bool operator==(const presence&, const presence&) = default;
};

using message = std::variant<token_request, token_answer, presence>;

} // namespace gypsumstep::allowance

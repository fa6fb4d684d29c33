/// \file
/// One statement of a client, free of any protocol.
#pragma once

#include <cstdint>
#include <string>

namespace gypsumstep::statement {

/// What a statement asks for.
enum class verb : std::uint8_t {
    begin,           ///< opens a transaction that may write
    begin_read_only, ///< opens a transaction that only reads
    commit,
    rollback,
    read,
    write,
    set,     ///< sets a session value
    prepare, ///< names a statement shape
    execute, ///< runs a prepared statement
    close,   ///< forgets a prepared statement
    unknown, ///< not a statement of the grammar
};

/// Whether a prepared statement reads or writes.
enum class access : std::uint8_t { read, write };

/// One statement as its client sent it.
struct statement {
    std::string id; ///< the client's own id; logs and the backend server carry it
    verb kind{verb::unknown};
    std::string name;                     ///< session value or prepared statement
    std::string value;                    ///< session value, shape, or arguments of an execute
    access prepared_access{access::read}; ///< of a prepare
    std::string text;                     ///< the client's bytes, forwarded unchanged

    friend bool operator==(const statement&, const statement&) = default;
};

/// A prepared statement of a session.
struct prepared_statement {
    access mode{access::read};
    std::string shape;

    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

/// State of a connection between statements.
enum class transaction_state : std::uint8_t {
    idle,
    open,
    failed, ///< only its end is accepted
};

/// The name's form in logs.
[[nodiscard]] const char* to_string(verb kind);

} // namespace gypsumstep::statement

/// \file
/// A statement of a client, independent of any protocol.
#pragma once

#include <cstdint>
#include <string>

namespace gypsumstep::statement {

/// The operation that a statement requests.
enum class verb : std::uint8_t {
    begin,           ///< opens a transaction that may write
    begin_read_only, ///< opens a transaction that only reads
    commit,
    rollback,
    read,
    write,
    set,     ///< sets a session value
    prepare, ///< creates a prepared statement
    execute, ///< runs a prepared statement
    close,   ///< deallocates a prepared statement
    unknown, ///< not in the grammar
};

/// Whether a prepared statement reads or writes.
enum class access : std::uint8_t { read, write };

/// A statement as its client sent it.
struct statement {
    std::string id; ///< chosen by the client; used in logs and sent to the server
    verb kind{verb::unknown};
    std::string name;  ///< name of the session value or prepared statement
    std::string value; ///< session value, statement shape, or arguments of an execute
    access prepared_access{access::read}; ///< for a prepare: whether the statement reads or writes
    std::string text;                     ///< the client's bytes, forwarded unchanged

    friend bool operator==(const statement&, const statement&) = default;
};

/// A prepared statement: whether it reads or writes, and its shape, which is the statement
/// without its arguments.
struct prepared_statement {
    access mode{access::read};
    std::string shape;

    friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

/// Transaction state of a connection between statements.
enum class transaction_state : std::uint8_t {
    idle,
    open,
    failed, ///< only the end of the transaction is accepted
};

/// Returns the name that logs use.
[[nodiscard]] const char* to_string(verb kind);

/// Returns true if a statement outside a transaction starts an operation that reaches a server:
/// the start of a transaction, or a single statement that a server runs.
[[nodiscard]] constexpr bool starts_operation(verb kind)
{
    switch (kind) {
    case verb::begin:
    case verb::begin_read_only:
    case verb::read:
    case verb::write:
    case verb::execute:
        return true;
    default:
        return false;
    }
}

} // namespace gypsumstep::statement

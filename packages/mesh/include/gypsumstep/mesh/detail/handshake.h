/// \file
/// Mutual proof of a shared key at connect. Plain C++17.
///
/// connector -> acceptor: hello(nonce c, address c)
/// acceptor -> connector: challenge(nonce a, address a, proof by the acceptor)
/// connector -> acceptor: response(proof by the connector)
/// acceptor -> connector: welcome
///
/// A proof is HMAC-SHA256 over the prover's role, both nonces and both addresses,
/// so that it fits neither another connection nor the other direction.
#pragma once

#include "gypsumstep/mesh/transport.h"

#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::mesh::detail {

inline constexpr std::size_t nonce_size = 32; ///< bytes
inline constexpr std::size_t proof_size = 32; ///< bytes
/// Bytes that an unauthenticated peer may send at once.
inline constexpr std::size_t handshake_limit = 512;

/// Which side computed a proof.
enum class handshake_role : char { connector = 'C', acceptor = 'A' };

/// What both sides know once hello and challenge were exchanged.
struct handshake_facts {
    std::string connector_nonce;
    std::string acceptor_nonce;
    peer_address connector;
    peer_address acceptor;
};

/// The opening message.
struct hello_message {
    std::string nonce;
    peer_address sender;
};

/// The acceptor's answer to a hello.
struct challenge_message {
    std::string nonce;
    peer_address sender;
    std::string proof;
};

/// Random bytes of nonce_size from the system's generator; empty if it failed.
[[nodiscard]] std::string make_nonce();

/// The proof of \p role by \p key.
[[nodiscard]] std::string make_proof(const std::string& key, handshake_role role,
                                     const handshake_facts& facts);

/// True if one of \p keys gives \p proof. Takes the same time for every wrong proof.
[[nodiscard]] bool check_proof(const std::vector<std::string>& keys, handshake_role role,
                               const handshake_facts& facts, const std::string& proof);

[[nodiscard]] std::string encode(const hello_message& message);
[[nodiscard]] std::string encode(const challenge_message& message);
/// Nothing if \p bytes are malformed.
[[nodiscard]] std::optional<hello_message> decode_hello(const std::string& bytes);
[[nodiscard]] std::optional<challenge_message> decode_challenge(const std::string& bytes);

} // namespace gypsumstep::mesh::detail

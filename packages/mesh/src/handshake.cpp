#include "gypsumstep/mesh/detail/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <charconv>

namespace gypsumstep::mesh::detail {
namespace {

constexpr char address_end = '\n';
constexpr char port_separator = '|';

std::string encode(const peer_address& address)
{
    return address.host + port_separator + std::to_string(address.port) + address_end;
}

/// Reads an address that must be followed by exactly \p rest_size bytes.
std::optional<peer_address> decode_address(const std::string& text, std::size_t rest_size)
{
    const auto separator = text.find(port_separator);
    const auto end = text.find(address_end);
    if (separator == std::string::npos || end == std::string::npos || separator > end ||
        separator == 0 || text.size() - end - 1 != rest_size) {
        return std::nullopt;
    }
    peer_address address;
    address.host = text.substr(0, separator);
    const char* first = text.data() + separator + 1;
    const char* last = text.data() + end;
    const auto [stop, status] = std::from_chars(first, last, address.port);
    if (status != std::errc{} || stop != last || address.port == 0) {
        return std::nullopt;
    }
    return address;
}

} // namespace

std::string make_nonce()
{
    std::string nonce(nonce_size, '\0');
    auto* bytes = reinterpret_cast<unsigned char*>(nonce.data());
    if (RAND_bytes(bytes, static_cast<int>(nonce.size())) != 1) {
        return {};
    }
    return nonce;
}

std::string make_proof(const std::string& key, handshake_role role, const handshake_facts& facts)
{
    // Nonces have one size and addresses an end mark: no two facts give one text.
    const std::string text = static_cast<char>(role) + facts.connector_nonce +
                             facts.acceptor_nonce + encode(facts.connector) +
                             encode(facts.acceptor);
    std::string proof(proof_size, '\0');
    unsigned int size = proof_size;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         reinterpret_cast<unsigned char*>(proof.data()), &size);
    return proof;
}

bool check_proof(const std::vector<std::string>& keys, handshake_role role,
                 const handshake_facts& facts, const std::string& proof)
{
    if (proof.size() != proof_size) {
        return false;
    }
    bool accepted = false;
    for (const auto& key : keys) {
        const std::string expected = make_proof(key, role, facts);
        const bool same = CRYPTO_memcmp(expected.data(), proof.data(), proof_size) == 0;
        accepted = accepted || same;
    }
    return accepted;
}

std::string encode(const hello_message& message)
{
    return message.nonce + encode(message.sender);
}

std::string encode(const challenge_message& message)
{
    return message.nonce + encode(message.sender) + message.proof;
}

std::optional<hello_message> decode_hello(const std::string& bytes)
{
    if (bytes.size() < nonce_size) {
        return std::nullopt;
    }
    const auto sender = decode_address(bytes.substr(nonce_size), 0);
    if (!sender) {
        return std::nullopt;
    }
    return hello_message{bytes.substr(0, nonce_size), *sender};
}

std::optional<challenge_message> decode_challenge(const std::string& bytes)
{
    if (bytes.size() < nonce_size + proof_size) {
        return std::nullopt;
    }
    const auto sender = decode_address(bytes.substr(nonce_size), proof_size);
    if (!sender) {
        return std::nullopt;
    }
    return challenge_message{bytes.substr(0, nonce_size), *sender,
                             bytes.substr(bytes.size() - proof_size)};
}

} // namespace gypsumstep::mesh::detail

/// \file
/// Rumours that still have to be sent on.
#pragma once

#include "gypsumstep/membership/message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gypsumstep::membership::detail {

/// Keeps the newest rumour of each subject until it was sent often enough.
class rumour_queue {
public:
    /// \param limit rumours kept; the most often sent one is dropped beyond it
    explicit rumour_queue(std::size_t limit) : m_limit{limit} {}

    /// Adds a rumour, in place of an older one on the same subject.
    void push(const rumour& news);

    /// Which rumours a message may carry.
    enum class selection : std::uint8_t {
        all,
        uncovered, ///< only what the digest does not cover: suspicions, transient payloads
    };

    /// Takes rumours of together at most \p bytes, the least often sent first.
    ///
    /// \param transmissions a rumour is dropped after it was taken this often
    [[nodiscard]] rumours take(selection wanted, std::size_t bytes, std::uint32_t transmissions);

    /// Takes the rumours that were not pushed yet. This counts as no transmission.
    [[nodiscard]] rumours take_fresh(std::size_t bytes);

    /// True if some rumour was not pushed yet.
    [[nodiscard]] bool has_fresh() const;

    /// Counts one transmission of all that digests cover: a peer was found to know it.
    void note_shared(std::uint32_t transmissions);

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct entry {
        rumour news;
        std::size_t bytes{0};
        std::uint32_t sent{0};
        std::uint64_t order{0};
        bool fresh{true};
        bool covered{true}; ///< by the digest
    };

    std::size_t m_limit;
    std::uint64_t m_order{0};
    std::map<std::string, entry> m_entries;

    void drop_most_sent();
};

} // namespace gypsumstep::membership::detail

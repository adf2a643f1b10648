#pragma once

#include "papayastep/base/hashing.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace papayastep::config {

/// A hash table with open addressing that maps an id to the position of its entry. It is one flat array, because the
/// nodes of a hash map would be allocated between the strings of the entries and leave the memory of a node fragmented
/// after the merge.
template<typename Entry>
class IdIndex
{
public:
    static constexpr std::uint32_t none = 0; ///< Result of find() for an unknown id, and value of an empty slot.

    /// Returns the index of the entry with `id` plus one, or none.
    std::uint32_t find(std::string_view id, const std::vector<Entry> &entries) const
    {
        return m_slots.empty() ? none : m_slots[slotOf(id, entries)];
    }

    /// Adds the last entry of `entries`, whose id must be new.
    void insertLast(const std::vector<Entry> &entries)
    {
        if (entries.size() * 2 > m_slots.size()) {
            rebuild(entries);
        } else {
            insert(entries, entries.size());
        }
    }

private:
    std::size_t slotOf(std::string_view id, const std::vector<Entry> &entries) const
    {
        const std::size_t mask = m_slots.size() - 1;
        std::size_t slot = base::stableHash(id) & mask;
        while (m_slots[slot] != none && entries[m_slots[slot] - 1].id.value() != id) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }

    void insert(const std::vector<Entry> &entries, std::size_t count)
    {
        m_slots[slotOf(entries[count - 1].id.value(), entries)] = static_cast<std::uint32_t>(count);
    }

    void rebuild(const std::vector<Entry> &entries)
    {
        m_slots.assign(m_slots.empty() ? 16 : m_slots.size() * 2, none);
        for (std::size_t count = 1; count <= entries.size(); ++count) {
            insert(entries, count);
        }
    }

    std::vector<std::uint32_t> m_slots; ///< Index of the entry plus one, or none.
};

}

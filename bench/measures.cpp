// Percentiles, and replacements of operator new and delete that track the allocated bytes.
#include "measures.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::int64_t> allocatedTotal{0};

void *countedMalloc(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    allocatedTotal.fetch_add(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    return memory;
}

void countedFree(void *memory)
{
    allocatedTotal.fetch_sub(static_cast<std::int64_t>(malloc_usable_size(memory)), std::memory_order_relaxed);
    std::free(memory);
}

} // namespace

void *operator new(std::size_t size)
{
    return countedMalloc(size);
}

void operator delete(void *memory) noexcept
{
    countedFree(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    countedFree(memory);
}

namespace KingCupLadder {

void Samples::add(double value)
{
    m_values.push_back(value);
    m_sorted = false;
}

std::size_t Samples::count() const
{
    return m_values.size();
}

double Samples::percentile(double fraction) const
{
    if (m_values.empty()) {
        return 0.0;
    }
    if (!m_sorted) {
        std::sort(m_values.begin(), m_values.end());
        m_sorted = true;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(m_values.size())));
    return m_values[std::clamp<std::size_t>(rank, 1, m_values.size()) - 1];
}

std::int64_t allocatedBytes()
{
    return allocatedTotal.load(std::memory_order_relaxed);
}

} // namespace KingCupLadder

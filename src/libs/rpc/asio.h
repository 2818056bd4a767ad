#pragma once

// The only way in to Asio. Whether it takes memory by aligned_alloc depends on
// which header came before it, so that one source file allocated what another
// one gave back by operator delete (AddressSanitizer: alloc-dealloc-mismatch).
#define ASIO_DISABLE_STD_ALIGNED_ALLOC 1

#include <asio.hpp>  // IWYU pragma: export

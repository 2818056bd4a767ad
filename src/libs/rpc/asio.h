#pragma once

// Includes Asio; no other header or source file includes it directly. Whether
// Asio allocates with aligned_alloc depends on the headers included before it,
// so one source file could allocate memory that another one frees with operator
// delete (AddressSanitizer: alloc-dealloc-mismatch).
#define ASIO_DISABLE_STD_ALIGNED_ALLOC 1

#include <asio.hpp>  // IWYU pragma: export

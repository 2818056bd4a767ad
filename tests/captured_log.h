#pragma once

#include <iostream>
#include <sstream>
#include <string>

#include "src/libs/logging/log.h"

namespace mimosarail {

/// Collects the log lines while it exists.
class CapturedLog {
 public:
  CapturedLog() : original_(std::cout.rdbuf(text_.rdbuf())) {
    logging::Start("entry");
  }
  ~CapturedLog() { Take(); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  /// Ends the collection and returns the lines.
  std::string Take() {
    logging::Stop();
    std::cout.rdbuf(original_);
    return text_.str();
  }

 private:
  std::ostringstream text_;
  std::streambuf* original_;
};

}  // namespace mimosarail

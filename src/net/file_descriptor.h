// RAII ownership of file descriptors.
#pragma once

#include <unistd.h>

#include <utility>

namespace magpie {

// Owns a file descriptor, such as a socket, and closes it on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() { Close(); }
  FileDescriptor(FileDescriptor&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      Close();
      descriptor_ = std::exchange(other.descriptor_, -1);
    }
    return *this;
  }

  int get() const { return descriptor_; }
  bool valid() const { return descriptor_ >= 0; }
  void Close() {
    if (valid()) close(std::exchange(descriptor_, -1));
  }

 private:
  int descriptor_ = -1;
};

}  // namespace magpie

// A connection for the library's parsers, on a blocking socket. What is written
// is gathered and sent in one go, since every system call and packet is paid for.
#pragma once

#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <string>

#include "core/types.h"

namespace magpie {

class BlockingStream : public httplib::Stream {
 public:
  // At most so many bytes are read for one message, no matter what it says of
  // its length. Sending waits at most `send_timeout` for the other side.
  BlockingStream(int socket, std::size_t most, Seconds send_timeout)
      : socket_(socket), most_(most), send_timeout_(send_timeout) {}

  // Waits for the next message.
  bool WaitForData() {
    read_ = 0;
    return from_ < to_ || Fill();
  }
  // Sends what was written since the last time.
  bool Flush() {
    std::size_t sent = 0;
    while (sent < out_.size()) {
      const ssize_t n =
          send(socket_, out_.data() + sent, out_.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno == EINTR) continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        if (!WaitWritable()) return false;
        continue;
      }
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    out_.clear();
    return true;
  }

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  ssize_t read(char* data, std::size_t size) override {
    if (from_ == to_ && !Fill()) return -1;
    const std::size_t n = std::min(size, to_ - from_);
    std::memcpy(data, buffer_.data() + from_, n);
    from_ += n;
    return static_cast<ssize_t>(n);
  }
  ssize_t write(const char* data, std::size_t size) override {
    out_.append(data, size);
    return static_cast<ssize_t>(size);
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    ip.clear();
    port = 0;
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    ip.clear();
    port = 0;
  }
  socket_t socket() const override { return socket_; }

 private:
  bool WaitWritable() const {
    pollfd p{socket_, POLLOUT, 0};
    return poll(&p, 1, static_cast<int>(send_timeout_.v * 1000)) > 0;
  }
  bool Fill() {
    if (!out_.empty() && !Flush()) return false;
    // The library limits bodies of a declared length only, not chunked ones.
    if (read_ > most_) return false;
    for (;;) {
      const ssize_t n = recv(socket_, buffer_.data(), buffer_.size(), 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      from_ = 0;
      to_ = static_cast<std::size_t>(n);
      read_ += to_;
      return true;
    }
  }

  int socket_;
  std::size_t most_;
  Seconds send_timeout_;
  std::array<char, 4096> buffer_{};
  std::size_t from_ = 0;
  std::size_t to_ = 0;
  std::size_t read_ = 0;  // of the present message
  std::string out_;
};

}  // namespace magpie

"""What is known of engines: runs, paces, readings, losses, requests that end them."""

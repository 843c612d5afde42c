"""What this VM knows of engines, and watches of them."""
